/**
 * Guards against continuous leader changes under load. When a leader starts the
 * steps of all trainers, its event loop can stall for longer than the followers'
 * election timeout. Each successor has more work to start and stalls for longer.
 * With ten store hosts and 31 engines, leadership changed 23 times, every two
 * seconds, while all hosts were up; almost no item finished, batches waited
 * seconds to be accepted, and no leader lasted long enough to answer a read.
 * In the logs, events 1011 and 1012 alternate on all store hosts while the
 * leader's processor is saturated and its memory is far from the limit. The causes
 * were work that grew with items times engines, and a timeout that treated a busy
 * leader as failed, however often this had been wrong.
 */
import test from 'ava'
import { ReplicaCluster } from '../fixtures/replicaCluster.js'

/** Each leader stalls this long after its election, repeatedly. */
const STALL_AFTER_MS = 300
const STALL_MS = 1_200
const ROUNDS_COUNT = 20

async function overloadLeaders (cluster: ReplicaCluster): Promise<number> {
  const termsBefore = cluster.leaders.size
  for (let round = 0; round < ROUNDS_COUNT; round++) {
    const leader = await cluster.untilLeader()
    await cluster.clock.advance(STALL_AFTER_MS)
    cluster.freeze(leader)
    await cluster.clock.advance(STALL_MS)
    cluster.wake(leader)
  }
  return cluster.leaders.size - termsBefore
}

test('should keep a leader that is overloaded repeatedly, after its followers have wrongly replaced a few', async t => {
  for (const seed of [1, 2, 3]) {
    const cluster = new ReplicaCluster({ seed, hostsCount: 5 })
    await cluster.startAll()
    await cluster.untilLeader()
    const changesCount = await overloadLeaders(cluster)
    t.log(`seed ${seed}: ${changesCount} changes of leader in ${ROUNDS_COUNT} rounds`)
    t.true(changesCount <= 4, `${changesCount} changes of leader`)
    t.deepEqual(cluster.violations, [])
  }
})

test('should replace a crashed leader within the usual time again, once no leader was lost for a while', async t => {
  const cluster = new ReplicaCluster({ seed: 4, hostsCount: 5 })
  await cluster.startAll()
  await cluster.untilLeader()
  await overloadLeaders(cluster)
  await cluster.untilLeader()
  await cluster.clock.advance(20_000)
  const crashed = await cluster.untilLeader()
  const lostAtMs = cluster.clock.nowMs()
  cluster.crash(crashed)
  await cluster.untilLeader()
  t.true(cluster.clock.nowMs() - lostAtMs <= 1_500, `${cluster.clock.nowMs() - lostAtMs} ms`)
})
