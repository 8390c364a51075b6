import test from 'ava'
import { FairWaitQueue, type QueueEntry } from '../../src/gateway/fairWaitQueue.js'

const SERVICE = 'decks'

test('should let any request try while none waits, and otherwise the earliest one', t => {
  const queue = new FairWaitQueue()
  const [first, second] = [{ service: SERVICE, priority: 2 }, { service: SERVICE, priority: 2 }]
  t.true(queue.mayTry(second, 1))
  queue.enqueue(first)
  queue.enqueue(second)
  t.true(queue.mayTry(first, 1))
  t.false(queue.mayTry(second, 1))
  t.true(queue.mayTry(second, 2))
  queue.leave(first)
  t.true(queue.mayTry(second, 1))
})

test('should let an urgent request try before earlier ones that are less urgent', t => {
  const queue = new FairWaitQueue()
  const [unhurried, urgent] = [{ service: SERVICE, priority: 2 }, { service: SERVICE, priority: 0 }]
  queue.enqueue(unhurried)
  queue.enqueue(urgent)
  t.true(queue.mayTry(urgent, 1))
  t.false(queue.mayTry(unhurried, 1))
})

/** Serves one request every 20 ms for a minute, while one request of each priority arrives; requests leave at their deadline. Returns the number served by priority. */
function serveOverload (priorities: number[], deadlineMs: number): number[] {
  const queue = new FairWaitQueue()
  let waiting: Array<{ turn: QueueEntry, sinceMs: number }> = []
  const servedCounts = priorities.map(() => 0)
  for (let nowMs = 0; nowMs < 60_000; nowMs += 20) {
    for (const priority of priorities) {
      const turn = { service: SERVICE, priority }
      queue.enqueue(turn)
      waiting.push({ turn, sinceMs: nowMs })
    }
    const next = waiting.find(({ turn }) => queue.mayTry(turn, 1))
    if (next) {
      queue.served(next.turn)
      const position = priorities.indexOf(next.turn.priority)
      servedCounts[position] = (servedCounts[position] ?? 0) + 1
    }
    for (const { turn, sinceMs } of waiting) if (nowMs - sinceMs > deadlineMs) queue.leave(turn)
    waiting = waiting.filter(entry => entry !== next && nowMs - entry.sinceMs <= deadlineMs)
  }
  return servedCounts
}

// Guards against starving an account while a more urgent one sends more requests than the service can handle.
test('should serve urgent requests more often and starve none while three times as many arrive as can be served', t => {
  const [urgent = 0, middle = 0, leastUrgent = 0] = serveOverload([0, 1, 2], 1_500)
  t.true(urgent > middle && middle > leastUrgent, `${urgent}, ${middle}, ${leastUrgent}`)
  t.true(leastUrgent > (urgent + middle + leastUrgent) / 3 / 4, `${urgent}, ${middle}, ${leastUrgent}`)
})

test('should use the full capacity for requests of equal priority', t => {
  const [first = 0] = serveOverload([1], 1_500)
  t.is(first, 3_000)
})
