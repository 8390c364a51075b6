import test from 'ava'
import { CallerHeader, callerPaths } from '../../src/protocol/callers.js'
import { waitFor } from '../../demo/waitFor.js'
import type { EntryAnswer } from '../../standins/entryClient.js'
import { ProcessSystem, type OpenStream } from '../fixtures/processSystem.js'

const STREAM_TOKENS = 120
const STREAMS_PER_HOST = 2
const SERVICE_MS = 1_000
const REVIEWS_COUNT = 40
const REVIEWS_BEFORE_STOP = 10

test('should interrupt no request when any one process is stopped', async t => {
  const system = await ProcessSystem.start(t, { enginesCount: 3, engine: { meanTokensCount: 5_000 }, service: { serviceMs: SERVICE_MS } })
  const leader = system.controls[await system.leaderIndex()]!
  for (const stoppedProcess of [system.engines[0]!, leader, system.service!, system.entries[0]!]) {
    const streams: OpenStream[] = []
    for (const host of system.local.entryAddresses) {
      for (let index = 0; index < STREAMS_PER_HOST; index++) {
        streams.push(system.openStream(host, `${stoppedProcess.name} ${index}`, STREAM_TOKENS))
      }
    }
    await Promise.all(streams.map(async ({ started }) => await started))
    const calls = system.service?.end ? [] : await startCalls(system, `/cards/${stoppedProcess.name}`)
    const end = stoppedProcess.stop()
    for (const stream of await Promise.all(streams.map(async ({ read }) => await read))) {
      t.true(stream.isWhole, stoppedProcess.name)
      t.is(stream.misplacedCount, 0)
      t.is(stream.tokens.length, STREAM_TOKENS)
    }
    for (const answer of await Promise.all(calls)) t.like(answer, { kind: 'answered' }, stoppedProcess.name)
    t.like(await end, { code: 0 }, stoppedProcess.name)
  }
})

test('should run each review once while an entry host stops', async t => {
  const system = await ProcessSystem.start(t, { enginesCount: 1 })
  for (let index = 0; index < REVIEWS_COUNT; index++) {
    if (index === REVIEWS_BEFORE_STOP) system.entries[1]!.signal('SIGTERM')
    await sendUntilAnswered(system, `review-${index}`)
  }
  t.like(await system.entries[1]!.ended, { code: 0 })
  const counts = Object.values((await system.serviceRecord()).executions)
  t.is(counts.length, REVIEWS_COUNT)
  t.true(counts.every(count => count === 1))
})

/** Calls the service through every host and waits until it has started all calls. */
async function startCalls (system: ProcessSystem, path: string): Promise<Array<Promise<EntryAnswer>>> {
  const calls = system.local.entryAddresses.map(async host => await system.client.sendTo(host, { method: 'GET', path: `${callerPaths.services}decks${path}` }))
  await waitFor('the service to run the calls', async () => {
    const { runningCount, executionsByPath } = await system.serviceRecord()
    return runningCount + (executionsByPath[path] ?? 0) >= calls.length
  })
  return calls
}

/** Repeats the call with the same key until it is answered, as documented for callers. */
async function sendUntilAnswered (system: ProcessSystem, key: string): Promise<void> {
  for (;;) {
    const answer = await system.client.send({
      method: 'POST',
      path: `${callerPaths.services}decks/reviews`,
      headers: { [CallerHeader.IdempotencyKey]: key },
      body: key
    })
    if (answer.kind === 'answered') {
      await answer.body.dump()
      return
    }
    system.client.invalidateAdvice()
  }
}
