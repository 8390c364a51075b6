import test from 'ava'
import { placementFor } from '../../src/replication/log/replicaPlacement.js'
import { fuzzMembers } from '../fixtures/storeMembersRuns.js'
import { TOLERATED_LOSSES } from '../fixtures/storeMembersSteps.js'

test('should keep everything acknowledged in 40 random runs of a store in which most hosts are not members until they are needed', async t => {
  t.timeout(280_000)
  const { acknowledged, disksLost, replaced, retired } = await fuzzMembers([6, 8, 12], 40, placementFor(TOLERATED_LOSSES))
  t.log(`${acknowledged} acknowledged, ${disksLost} disks lost, ${replaced} hosts replaced, ${retired} retired`)
  t.true(acknowledged > 100)
  t.true(disksLost > 40)
  t.true(replaced > 5)
  t.true(retired > 0)
})
