import test from 'ava'
import { FairWaitQueue, type QueueEntry } from '../../src/gateway/waitingTurns.js'

const SERVICE = 'decks'

test('should let anybody try while nobody waits, and the earliest of those that wait', t => {
  const turns = new FairWaitQueue()
  const [first, second] = [{ service: SERVICE, priority: 2 }, { service: SERVICE, priority: 2 }]
  t.true(turns.mayTry(second, 1))
  turns.enqueue(first)
  turns.enqueue(second)
  t.true(turns.mayTry(first, 1))
  t.false(turns.mayTry(second, 1))
  t.true(turns.mayTry(second, 2))
  turns.leave(first)
  t.true(turns.mayTry(second, 1))
})

test('should let the urgent try before what came earlier', t => {
  const turns = new FairWaitQueue()
  const [patient, urgent] = [{ service: SERVICE, priority: 2 }, { service: SERVICE, priority: 0 }]
  turns.enqueue(patient)
  turns.enqueue(urgent)
  t.true(turns.mayTry(urgent, 1))
  t.false(turns.mayTry(patient, 1))
})

/** Serves one request every 20 ms for a minute while as many come as there are priorities; what has waited for its deadline leaves. */
function serveOverload (priorities: number[], deadlineMs: number): number[] {
  const turns = new FairWaitQueue()
  let waiting: Array<{ turn: QueueEntry, sinceMs: number }> = []
  const servedCounts = priorities.map(() => 0)
  for (let nowMs = 0; nowMs < 60_000; nowMs += 20) {
    for (const priority of priorities) {
      const turn = { service: SERVICE, priority }
      turns.enqueue(turn)
      waiting.push({ turn, sinceMs: nowMs })
    }
    const next = waiting.find(({ turn }) => turns.mayTry(turn, 1))
    if (next) {
      turns.served(next.turn)
      const position = priorities.indexOf(next.turn.priority)
      servedCounts[position] = (servedCounts[position] ?? 0) + 1
    }
    for (const { turn, sinceMs } of waiting) if (nowMs - sinceMs > deadlineMs) turns.leave(turn)
    waiting = waiting.filter(entry => entry !== next && nowMs - entry.sinceMs <= deadlineMs)
  }
  return servedCounts
}

// Guards against an account that is never served while a more urgent one asks for all there is.
test('should serve the urgent more often and starve nobody while three times as much comes as can be served', t => {
  const [urgent = 0, middle = 0, patient = 0] = serveOverload([0, 1, 2], 1_500)
  t.true(urgent > middle && middle > patient, `${urgent}, ${middle}, ${patient}`)
  t.true(patient > (urgent + middle + patient) / 3 / 4, `${urgent}, ${middle}, ${patient}`)
})

test('should serve equals alike', t => {
  const [first = 0] = serveOverload([1], 1_500)
  t.is(first, 3_000)
})
