/** `threaddrum status`: shows the hosts and the revision in force on each, or the progress of a job. */
import type { ClusterStatus } from '../protocol/operators.js'
import type { RolloutProgress } from '../protocol/rolloutProgress.js'
import { sleepUntil } from '../utils/clock.js'
import { reportFailure, type CommandContext } from './commandContext.js'
import { ExitCode } from './exitCode.js'
import { renderTable } from './output.js'

const FOLLOW_INTERVAL_MS = 1_000

export async function runStatus (context: CommandContext): Promise<ExitCode> {
  const answer = await context.client.status(context.progress)
  if (answer.kind !== 'answered') return reportFailure(context, 'status', answer)
  context.output.print(context.asJson ? JSON.stringify(answer.value, null, 2) : describeCluster(answer.value))
  return ExitCode.Done
}

/** Prints the progress of a job once, or every second until the deadline. */
export async function runJobStatus (context: CommandContext, job: string, follow: boolean): Promise<ExitCode> {
  const { client, progress, output } = context
  for (;;) {
    const answer = await client.jobProgress(job, progress)
    if (answer.kind !== 'answered') return reportFailure(context, `RolloutJob ${job}`, answer)
    output.print(context.asJson ? JSON.stringify(answer.value) : describeProgress(answer.value))
    if (!follow || progress.remainingMs() <= FOLLOW_INTERVAL_MS) return ExitCode.Done
    await sleepUntil(progress.clock, progress.scope, progress.clock.nowMs() + FOLLOW_INTERVAL_MS)
  }
}

function describeCluster ({ leaderHostId, term, revision, members, entryHosts }: ClusterStatus): string {
  const memberRows = members.map(({ hostId, peerAddress }) => [hostId, peerAddress, hostId === leaderHostId ? 'leader' : ''])
  const hostRows = entryHosts.map(host => [host.hostId, host.dataCentre, host.callerAddress, host.operatorAddress, host.revisionInForce, host.holdsLease])
  return [
    `leader ${leaderHostId ?? 'none'}, term ${term}, revision ${revision}`,
    renderTable(['control host', 'peer address', 'part'], memberRows),
    renderTable(['entry host', 'data centre', 'callers', 'operators', 'revision in force', 'lease'], hostRows)
  ].join('\n')
}

export function describeProgress (progress: RolloutProgress): string {
  const { job, step, slotsCount, deliveredCount, committedCount, runningCount, waitingCount, staleDroppedCount, rerunCount } = progress
  return `${job}: step ${step}, trainer at version ${progress.trainerVersion} of ${progress.publishedVersion}: ` +
    `${deliveredCount} delivered, ${committedCount} finished, ${runningCount} running, ${waitingCount} waiting of ${slotsCount}; ` +
    `${staleDroppedCount} dropped as stale, ${rerunCount} run again`
}
