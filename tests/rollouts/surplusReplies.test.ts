/**
 * Replies of engines and scoring services carry no id of the call in their head. An
 * endpoint that sends a reply twice must not have the second one taken for the reply to
 * the next call.
 */
import type { Socket } from 'node:net'
import test, { type ExecutionContext } from 'ava'
import { httpEngineOrders } from '../../src/entry/rollouts/weights/engineOrders.js'
import { scoreOverHttp } from '../../src/entry/rollouts/sampleScorer.js'
import { systemClock } from '../../src/utils/clock.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { startRawEndpoint } from '../fixtures/rawEndpoint.js'

const WAIT_MS = 20_000

/** Starts an endpoint that replies with the number of the call; on a connection that has carried a call before, its earlier reply comes first. */
async function startRepeatingEndpoint (t: ExecutionContext, bodyOf: (number: number) => object): Promise<string> {
  const earlier = new Map<Socket, string>()
  const raw = await startRawEndpoint(({ socket }, number) => {
    const body = JSON.stringify(bodyOf(number))
    const reply = `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${body.length}\r\n\r\n${body}`
    socket.write((earlier.get(socket) ?? '') + reply)
    earlier.set(socket, reply)
  })
  t.teardown(() => raw.close())
  return `http://${raw.endpoint.address}`
}

function progress (): Progress {
  return new Progress(systemClock, new Scope('test'), systemClock.nowMs() + WAIT_MS)
}

// A sample got the score of the sample before it.
test('should not take the late copy of a score for the score of the next sample', async t => {
  const url = await startRepeatingEndpoint(t, number => ({ score: number }))
  for (const score of [1, 2, 3]) t.deepEqual(await scoreOverHttp(url, { prompt: 'Kaart', tokens: ['de '] }, progress()), { kind: 'scored', score })
})

// An order counted as carried out because an earlier one was.
test('should not take the late copy of a reply for the reply to the next order or query', async t => {
  const url = await startRepeatingEndpoint(t, number => ({ kind: 'done', weight_version: number }))
  const order = { kind: 'load_version', weight_version: 2, fencing_number: 1, order_id: 'o1', remaining_ms: 1_000 } as unknown as Parameters<typeof httpEngineOrders.order>[1]
  for (const version of [1, 2, 3]) t.deepEqual(await httpEngineOrders.order(url, order, progress()), { kind: 'replied', reply: { kind: 'done', weight_version: version } })
})
