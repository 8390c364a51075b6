/**
 * Gauges of a replica: size of its log, progress, snapshots and members.
 */
import { MetricName } from '../../utils/metricNames.js'
import type { Metrics } from '../../utils/metrics.js'
import type { Leadership } from './leadership.js'
import { MemberRole, votersOf } from './members.js'
import type { Replica } from './replica.js'
import type { ReplicaCore } from './replicaCore.js'

/** Value of leader-only gauges on other replicas, so that no stale value of an earlier leadership remains. */
export const NOT_LEADING = -1

export function setReplicaGauges (replica: Replica, metrics: Metrics): void {
  const { core, leadership } = replica
  const { log } = core.state
  metrics.gauge(MetricName.LogHeldEntries, log.lastIndex - log.baseIndex)
  metrics.gauge(MetricName.LogHeldBytes, log.bytes)
  metrics.gauge(MetricName.LogAppliedIndex, replica.appliedIndex)
  metrics.gauge(MetricName.LogCommitIndex, core.commitIndex)
  for (const [source, { bytesCount, tookMs }] of core.snapshotStats.latest) {
    metrics.gauge(MetricName.SnapshotBytes, bytesCount, { source })
    metrics.gauge(MetricName.SnapshotTookMs, tookMs, { source })
  }
  setMemberGauges(core, leadership, metrics)
}

function setMemberGauges (core: ReplicaCore, leadership: Leadership | undefined, metrics: Metrics): void {
  const voters = votersOf(core.members)
  metrics.gauge(MetricName.MembersVoters, voters.length)
  metrics.gauge(MetricName.MembersLearners, core.members.filter(({ role }) => role === MemberRole.Learner).length)
  const liveCount = leadership ? voters.filter(({ replicaId }) => leadership.isLive(replicaId)).length : NOT_LEADING
  metrics.gauge(MetricName.MembersLiveVoters, liveCount)
  metrics.gauge(MetricName.MembersLargestLagEntries, leadership ? largestLag(core, leadership) : NOT_LEADING)
}

function largestLag (core: ReplicaCore, leadership: Leadership): number {
  const others = votersOf(core.members).filter(({ replicaId }) => replicaId !== core.replicaId)
  const lags = others.map(({ replicaId }) => core.state.log.lastIndex - (leadership.progressOf(replicaId)?.matchIndex ?? 0))
  return Math.max(0, ...lags)
}
