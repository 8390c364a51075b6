import test from 'ava'
import { fuzzMembers } from '../fixtures/storeMembersRuns.js'

test('should keep everything acknowledged in 40 random runs of a store whose hosts lose disks, lose power and are replaced', async t => {
  t.timeout(280_000)
  const { acknowledged, disksLost, replaced, retired } = await fuzzMembers([5, 6, 10], 40)
  t.log(`${acknowledged} acknowledged, ${disksLost} disks lost, ${replaced} hosts replaced, ${retired} retired`)
  t.true(acknowledged > 100)
  t.true(disksLost > 40)
  t.true(replaced > 5)
  t.true(retired > 0)
})
