/** `threaddrum explain`: why a request or a sample went where it did, asked of every entry host. */
import { operatorPaths, type EntryHostStatus } from '../protocol/operators.js'
import { reportFailure, type CommandContext } from './commandContext.js'
import { ExitCode } from './exitCode.js'

interface Explanation {
  hostId: string
  explanation: unknown
}

export async function runExplain (context: CommandContext, id: string): Promise<ExitCode> {
  const status = await context.client.status(context.progress)
  if (status.kind !== 'answered') return reportFailure(context, 'status', status)
  const found: Explanation[] = []
  const silent: string[] = []
  for (const host of status.value.entryHosts) {
    const answer = await ask(context, host, id)
    if (answer.kind === 'answered') found.push({ hostId: host.hostId, explanation: answer.value })
    else if (answer.kind === 'unreachable') silent.push(host.hostId)
  }
  print(context, found)
  if (silent.length > 0) context.output.error(`no answer from ${silent.join(', ')}`)
  if (found.length > 0) return ExitCode.Done
  context.output.error(`no entry host that answered remembers "${id}"`)
  return ExitCode.NotFound
}

async function ask ({ client, progress }: CommandContext, host: EntryHostStatus, id: string): ReturnType<typeof client.askEntryHost> {
  const address = host.operatorAddress ?? host.callerAddress
  return await client.askEntryHost(address, { method: 'GET', path: `${operatorPaths.explain}${encodeURIComponent(id)}` }, progress)
}

function print ({ output, asJson }: CommandContext, found: Explanation[]): void {
  if (asJson) return output.print(JSON.stringify(found, null, 2))
  for (const { hostId, explanation } of found) output.print(`${hostId}:\n${JSON.stringify(explanation, null, 2)}`)
}
