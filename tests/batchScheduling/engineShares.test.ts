import test from 'ava'
import { ShareQueue, shareWeightOf, slotSharesOf, type RankedItem } from '../../src/batchScheduling/engineShares.js'
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

test('should go on with another trainer after the items of one, and with surplus last', t => {
  const queue = new ShareQueue([...waiting('s', 2, 3, GroupStanding.Surplus), ...waiting('a', 1), ...waiting('b', 2)], new Map([['b', 50]]))
  t.deepEqual(startsOf(queue, 6), ['a0', 'b0', 'b1', 's0', 's1', ''])
})
