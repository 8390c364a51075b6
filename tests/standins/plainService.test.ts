import test from 'ava'
import { request } from 'undici'
import { NOT_EXECUTED_HEADER, REQUEST_ID_HEADER } from '../../src/protocol/endpoints.js'
import { systemClock } from '../../src/utils/clock.js'
import { PlainService, ServiceFault, serviceFaultSchema } from '../../standins/plainService.js'
import { serviceSettingsSchema } from '../../standins/standInSettings.js'

async function startService (): Promise<PlainService> {
  const settings = serviceSettingsSchema.parse({
    listenAddress: '127.0.50.2:0',
    entryHosts: ['127.0.50.2:1'],
    endpointId: 'service-1',
    pool: 'decks',
    dataCentre: 'hal-a',
    serviceMs: 0
  })
  const service = new PlainService(settings, systemClock)
  await service.start({ announces: false })
  return service
}

async function call (service: PlainService, requestId: string): Promise<{ status: number, headers: Record<string, unknown> } | 'lost'> {
  try {
    const answer = await request(`${service.server.url}/reviews`, { method: 'POST', headers: { [REQUEST_ID_HEADER]: requestId }, body: 'x' })
    await answer.body.text()
    return { status: answer.statusCode, headers: answer.headers }
  } catch {
    return 'lost'
  }
}

test('should count executions correctly under every fault', async t => {
  const service = await startService()
  const expectations: Array<[ServiceFault, number, 'lost' | number]> = [
    [ServiceFault.RefusesNotExecuted, 0, 503],
    [ServiceFault.DisconnectsBeforeExecution, 0, 'lost'],
    [ServiceFault.DisconnectsBeforeAnswer, 1, 'lost'],
    [ServiceFault.TruncatesAnswer, 1, 'lost'],
    [ServiceFault.AnswersTwice, 1, 200],
    [ServiceFault.WrongId, 1, 200],
    [ServiceFault.Fails, 1, 500]
  ]
  for (const [fault, executions, status] of expectations) {
    service.addFault(serviceFaultSchema.parse({ fault }))
    const answer = await call(service, fault)
    t.is(answer === 'lost' ? answer : answer.status, status, fault)
    t.is(service.executions.get(fault) ?? 0, executions, fault)
  }
  await service.kill()
})

test('should mark a refusal with the documented header', async t => {
  const service = await startService()
  service.addFault(serviceFaultSchema.parse({ fault: ServiceFault.RefusesNotExecuted }))
  const answer = await call(service, 'r1')
  t.true(answer !== 'lost' && answer.headers[NOT_EXECUTED_HEADER] === 'true')
  await service.kill()
})
