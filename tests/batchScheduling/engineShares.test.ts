import test from 'ava'
import { ShareCredits, ShareQueue, shareWeightOf, slotSharesOf, type RankedItem } from '../../src/batchScheduling/engineShares.js'
import { GroupStanding } from '../../src/batchScheduling/groupPlan.js'

function waiting (trainer: string, count: number, weight = 1, standing = GroupStanding.Planned): Array<RankedItem<string>> {
  return Array.from({ length: count }, (_value, position) => ({ item: `${trainer}${position}`, trainer, weight, standing, rank: position }))
}

/** The items that get the next slots. */
function startsOf (queue: ShareQueue<string>, count: number): string[] {
  return Array.from({ length: count }, () => {
    const item = queue.next() ?? ''
    queue.recordStart()
    return item
  })
}

test('should share slots by weight, and give what a trainer does not need to the others', t => {
  const trainers = [{ trainer: 'a', weight: 3, neededSlotsCount: 500 }, { trainer: 'b', weight: 1, neededSlotsCount: 500 }, { trainer: 'c', weight: 1, neededSlotsCount: 10 }]
  t.deepEqual([...slotSharesOf(trainers, 90)].sort(), [['a', 60], ['b', 20], ['c', 10]])
})

test('should give the most urgent priority three times the weight of the least urgent one', t => {
  t.deepEqual([0, 1, 2, 9].map(shareWeightOf), [3, 2, 1, 1])
})

// A trainer with many urgent items got every slot, and the step of another one got none.
test('should give slots to the trainer with the fewest running items for its weight', t => {
  const queue = new ShareQueue([...waiting('a', 100, 3), ...waiting('b', 100)], new Map([['a', 60], ['b', 0]]))
  const started = startsOf(queue, 40)
  t.is(started.filter(item => item.startsWith('b')).length, 25)
  t.deepEqual(started.slice(0, 2), ['b0', 'b1'])
})

// A step finds all slots taken when it is submitted, and its trainer lost the time until they were free, step after step.
test('should make up for engine time that a trainer missed, and not for time without a shortage', t => {
  const credits = new ShareCredits()
  const trainers = [{ trainer: 'a', weight: 1, wantedItemsCount: 50, runningCount: 0 }, { trainer: 'b', weight: 1, wantedItemsCount: 50, runningCount: 10 }]
  credits.record(trainers, 10, 0)
  credits.record(trainers, 10, 300)
  t.true(credits.countedRunning('a', 5) < 5)
  t.true(credits.countedRunning('b', 5) > 5)
  const counted = credits.countedRunning('a', 5)
  credits.pause()
  credits.record(trainers, 10, 60_000)
  t.is(credits.countedRunning('a', 5), counted)
})

test('should go on with another trainer after the items of one, and with surplus last', t => {
  const queue = new ShareQueue([...waiting('s', 2, 3, GroupStanding.Surplus), ...waiting('a', 1), ...waiting('b', 2)], new Map([['b', 50]]))
  t.deepEqual(startsOf(queue, 6), ['a0', 'b0', 'b1', 's0', 's1', ''])
})
