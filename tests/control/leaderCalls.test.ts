import test from 'ava'
import { ControlNode } from '../../src/control/controlNode.js'
import { LeaderCalls } from '../../src/control/routing/leaderCalls.js'
import { RoutingCommandKind, type RoutingCommand } from '../../src/protocol/routingCommands.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { ReplicaCluster, type ClusterHost } from '../fixtures/replicaCluster.js'

const CALL_TIMEOUT_MS = 850
const command: RoutingCommand = { kind: RoutingCommandKind.NameWeights, model: 'm', version: 2 }

async function startThree () {
  const cluster = new ReplicaCluster({ seed: 21, hostsCount: 3 })
  await cluster.startAll()
  const leader = await cluster.untilLeader()
  await cluster.until(() => cluster.hosts.every(host => host.running?.replica.core.isVoter()), 'all are voters')
  return { cluster, leader, follower: cluster.hosts.find(host => host !== leader) as ClusterHost }
}

function callsAt (cluster: ReplicaCluster, host: ClusterHost): { calls: LeaderCalls, progress: () => Progress } {
  const { running, clock } = host
  if (!running) throw new Error(`${host.hostId} is not running`)
  const calls = new LeaderCalls(new ControlNode(running.replica, running.state, clock))
  return { calls, progress: () => new Progress(cluster.clock, new Scope('caller'), cluster.clock.nowMs() + CALL_TIMEOUT_MS) }
}

test('should answer an operator at a follower within the second after which callers move on, also while the leader is frozen', async t => {
  const { cluster, leader, follower } = await startThree()
  const { calls, progress } = callsAt(cluster, follower)
  cluster.freeze(leader)
  const startedAtMs = cluster.clock.nowMs()
  const reply = await cluster.clock.advanceUntil(calls.submit(command, progress()))
  t.not(reply.kind, 'committed')
  t.true(cluster.clock.nowMs() - startedAtMs <= CALL_TIMEOUT_MS + 50)
  const read = await cluster.clock.advanceUntil(calls.read(progress()))
  t.true(read.kind !== 'confirmed' || cluster.leading().some(host => host !== leader))
})

test('should commit at the leader itself, and confirm reads there', async t => {
  const { cluster, leader } = await startThree()
  const { calls, progress } = callsAt(cluster, leader)
  t.is((await cluster.clock.advanceUntil(calls.submit(command, progress()))).kind, 'committed')
  t.is((await cluster.clock.advanceUntil(calls.read(progress()))).kind, 'confirmed')
  t.deepEqual(leader.running?.state.routing.namedWeights(), [{ model: 'm', version: 2 }])
})
