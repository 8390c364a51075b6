/** Waits until a revision of the configuration is in force on every entry host. */
import type { EntryHostStatus } from '../protocol/operators.js'
import { sleepUntil } from '../utils/clock.js'
import { reportFailure, type CommandContext } from './commandContext.js'
import { ExitCode } from './exitCode.js'

const POLL_MS = 200

/** At the deadline, reports the hosts where the revision is not in force. */
export async function waitUntilInForce (context: CommandContext, revision: number): Promise<ExitCode> {
  const { client, progress, output } = context
  let laggingHosts: EntryHostStatus[] = []
  while (!progress.isPastDeadline()) {
    const answer = await client.status(progress)
    if (answer.kind === 'unreachable' && laggingHosts.length > 0) break
    if (answer.kind !== 'answered') return reportFailure(context, 'status', answer)
    laggingHosts = answer.value.entryHosts.filter(host => host.revisionInForce < revision)
    if (laggingHosts.length === 0) {
      if (!context.asJson) output.print(`revision ${revision} is in force on all ${answer.value.entryHosts.length} entry hosts`)
      return ExitCode.Done
    }
    await sleepUntil(progress.clock, progress.scope, Math.min(progress.deadlineMs, progress.clock.nowMs() + POLL_MS))
  }
  for (const host of laggingHosts) output.error(`${host.hostId} (${host.dataCentre}): not in force, it has revision ${host.revisionInForce} of ${revision}`)
  return ExitCode.Timeout
}
