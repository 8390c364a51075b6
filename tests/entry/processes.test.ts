/**
 * Entry hosts as separate processes: killed before, during and after an
 * unrepeatable call, stopped under load, and without a control quorum.
 */
import test from 'ava'
import { request } from 'undici'
import { EndpointKind } from '../../src/protocol/resources.js'
import { EntryProcesses, sendReturn, statusOf } from '../fixtures/entryProcesses.js'
import { chunkEvent, completionOf, type Handler } from '../fixtures/testEndpoint.js'
import { until } from '../fixtures/until.js'

/** A service that runs every call it receives and delays the responses to held keys until they are released. */
class BookingService {
  readonly executions = new Map<string, number>()
  private readonly _held = new Set<string>()

  hold (key: string): void {
    this._held.add(key)
  }

  release (key: string): void {
    this._held.delete(key)
  }

  readonly handler: Handler = async (_request, response, body) => {
    const key = body.toString()
    this.executions.set(key, (this.executions.get(key) ?? 0) + 1)
    await until(() => !this._held.has(key) || response.destroyed)
    response.end(`recorded ${key}`)
  }
}

test.serial('should run an unrepeatable call at most once when its entry host is killed before, during or after', async t => {
  const processes = await EntryProcesses.start(1, 3)
  const booking = new BookingService()
  try {
    await processes.endpoint('booking-1', EndpointKind.Service, booking.handler, 1)
    const [first, second, third] = processes.entries
    if (!first || !second || !third) return t.fail()

    booking.hold('blocker')
    const blocker = sendReturn(third, 'blocker')
    await until(() => booking.executions.has('blocker'))
    booking.hold('during')
    const during = sendReturn(first, 'during')
    await until(() => booking.executions.has('during'))
    const before = sendReturn(first, 'before')
    await until(async () => (await inFlight(first)) === 2)
    await processes.kill(first)
    t.is((await during).status, 0)
    t.is((await before).status, 0)
    booking.release('blocker')
    t.is((await blocker).text, 'recorded blocker')

    const resentDuring = await sendReturn(second, 'during')
    t.like(JSON.parse(resentDuring.text), { reason: 'answer_lost', executed: 'unknown' })
    t.like(await sendReturn(second, 'before'), { status: 200, text: 'recorded before' })

    t.like(await sendReturn(second, 'after'), { status: 200, replayed: false })
    await processes.kill(second)
    t.like(await sendReturn(third, 'after'), { status: 200, text: 'recorded after', replayed: true })
    t.like(JSON.parse((await sendReturn(third, 'during')).text), { executed: 'unknown' })

    const restarted = await processes.startEntry('entry-1')
    await until(async () => (await statusOf(restarted))?.state === 'serving')
    t.like(JSON.parse((await sendReturn(restarted, 'during')).text), { executed: 'unknown' })
    t.deepEqual(Object.fromEntries(booking.executions), { blocker: 1, during: 1, before: 1, after: 1 })
  } finally {
    await processes.stop()
  }
})

test.serial('should refuse new work without a control quorum, finish running requests, and recover', async t => {
  const processes = await EntryProcesses.start(3, 1)
  const booking = new BookingService()
  let release = false
  const engine: Handler = async (_request, response, body) => {
    const { request_id: id = '' } = completionOf(body)
    response.writeHead(200, { 'content-type': 'text/event-stream' })
    response.write(chunkEvent('engine-1', id, 0, ['a']))
    await until(() => release)
    response.end(chunkEvent('engine-1', id, 1, ['b'], true) + 'data: [DONE]\n\n')
  }
  try {
    await processes.endpoint('booking-1', EndpointKind.Service, booking.handler)
    const { receivedCount } = await processes.endpoint('engine-1', EndpointKind.Engine, engine)
    t.is(receivedCount, 0)
    const [entry] = processes.entries
    if (!entry) return t.fail()
    const stream = complete(entry.url)
    await until(async () => (await inFlight(entry)) === 1)
    for (const host of processes.control.hosts.slice(0, 2)) await processes.control.kill(host)
    await until(async () => (await statusOf(entry))?.holdsLease === false)

    t.like(JSON.parse((await sendReturn(entry, 'k1', 5_000)).text), { reason: 'lease_lost', executed: 'unknown' })
    const refused = await complete(entry.url)
    t.like(JSON.parse(refused), { reason: 'lease_lost', executed: 'no' })
    t.is(booking.executions.size, 0)
    release = true
    t.true((await stream).includes('"text":"ab"'))

    for (const host of processes.control.hosts.slice(0, 2)) processes.control.start(host)
    await until(async () => (await sendReturn(entry, 'k1')).status === 200)
    t.deepEqual(Object.fromEntries(booking.executions), { k1: 1 })
  } finally {
    await processes.stop()
  }
})

test.serial('should abort no request and exit with code 0 when it is stopped under load', async t => {
  // Longer than this process may stand still between seeing the new advice and its first request.
  const processes = await EntryProcesses.start(1, 2, { adviceValidMs: 4_000 })
  const booking = new BookingService()
  try {
    await processes.endpoint('booking-1', EndpointKind.Service, booking.handler)
    const [stopped, other] = processes.entries
    if (!stopped || !other) return t.fail()
    booking.hold('slow')
    const slow = sendReturn(stopped, 'slow')
    await until(() => booking.executions.has('slow'))
    stopped.child.kill('SIGTERM')
    await until(async () => {
      const advice = await (await request(`${other.url}/v1/advice`)).body.json() as { hosts: string[] }
      return !advice.hosts.includes(new URL(stopped.url).host)
    })
    let sentCount = 0
    let refusal: Record<string, unknown> | undefined
    while (!refusal) {
      const key = `under-load-${sentCount++}`
      const answer = await sendReturn(stopped, key)
      if (answer.status === 200) continue
      refusal = JSON.parse(answer.text)
      t.false(booking.executions.has(key))
    }
    t.like(refusal, { reason: 'host_stopping', executed: 'no', otherHosts: [new URL(other.url).host] })
    t.true(sentCount > 1, 'it served while callers could still hold advice that named it')
    t.is(stopped.child.exitCode, null)
    booking.release('slow')
    t.like(await slow, { status: 200, text: 'recorded slow' })
    t.is(await stopped.exitCode, 0, stopped.log)
    t.like(await sendReturn(other, 'slow'), { replayed: true })
  } finally {
    await processes.stop()
  }
})

// Guards against a second signal that ends the process in the middle of its planned stop.
test.serial('should end its planned stop when it is asked to stop again', async t => {
  const processes = await EntryProcesses.start(1, 2)
  const booking = new BookingService()
  try {
    await processes.endpoint('booking-1', EndpointKind.Service, booking.handler)
    const [stopped] = processes.entries
    if (!stopped) return t.fail()
    booking.hold('slow')
    const slow = sendReturn(stopped, 'slow')
    await until(() => booking.executions.has('slow'))
    stopped.child.kill('SIGTERM')
    await until(async () => ['leaving', 'refusing'].includes((await statusOf(stopped))?.state ?? 'none'))
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGINT'] as const) stopped.child.kill(signal)
    await until(async () => (await statusOf(stopped))?.state === 'refusing')
    booking.release('slow')
    t.like(await slow, { status: 200, text: 'recorded slow' })
    t.is(await stopped.exitCode, 0, stopped.log)
  } finally {
    await processes.stop()
  }
})

async function complete (url: string): Promise<string> {
  const answer = await request(`${url}/v1/completions`, { method: 'POST', body: JSON.stringify({ model: 'practice-lm', prompt: 'drum' }) })
  return await answer.body.text()
}

async function inFlight (entry: Parameters<typeof statusOf>[0]): Promise<number | undefined> {
  const status = await statusOf(entry) as { inFlightCount?: number } | undefined
  return status?.inFlightCount
}
