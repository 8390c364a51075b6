/** `threaddrum quarantine`: lists requests that are withheld because endpoints crashed under them, and releases one. */
import { reportFailure, type CommandContext } from './commandContext.js'
import { ExitCode } from './exitCode.js'
import { renderTable } from './output.js'

export async function runListQuarantine (context: CommandContext): Promise<ExitCode> {
  const answer = await context.client.quarantine(context.progress)
  if (answer.kind !== 'answered') return reportFailure(context, 'quarantine', answer)
  const { requests } = answer.value
  const rows = requests.map(({ digest, verdict, endpointIds, endedAtMs }) => [digest, verdict, endpointIds.join(', '), new Date(endedAtMs).toISOString()])
  context.output.print(context.asJson ? JSON.stringify(requests) : renderTable(['digest', 'verdict', 'crashed endpoints', 'last'], rows))
  return ExitCode.Done
}

export async function runLiftQuarantine (context: CommandContext, digest: string): Promise<ExitCode> {
  const answer = await context.client.liftQuarantine(digest, context.progress)
  if (answer.kind !== 'answered') return reportFailure(context, `quarantine of ${digest}`, answer)
  context.output.print(context.asJson ? JSON.stringify(answer.value) : `${digest}: lifted; the next endpoint crash under it counts as the first`)
  return ExitCode.Done
}
