/** `threaddrum explain`: queries every entry host why a request or a sample was routed as it was. */
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
  const unreachable: string[] = []
  for (const host of status.value.entryHosts) {
    const answer = await requestExplanation(context, host, id)
    if (answer.kind === 'answered') found.push({ hostId: host.hostId, explanation: answer.value })
    else if (answer.kind === 'unreachable') unreachable.push(host.hostId)
  }
  print(context, found)
  if (unreachable.length > 0) context.output.error(`no answer from ${unreachable.join(', ')}`)
  if (found.length > 0) return ExitCode.Done
  context.output.error(`no entry host that answered has a record of "${id}"`)
  return ExitCode.NotFound
}

async function requestExplanation ({ client, progress }: CommandContext, host: EntryHostStatus, id: string): ReturnType<typeof client.requestEntryHost> {
  const address = host.operatorAddress ?? host.callerAddress
  return await client.requestEntryHost(address, { method: 'GET', path: `${operatorPaths.explain}${encodeURIComponent(id)}` }, progress)
}

function print ({ output, asJson }: CommandContext, found: Explanation[]): void {
  if (asJson) return output.print(JSON.stringify(found, null, 2))
  for (const { hostId, explanation } of found) output.print(`${hostId}:\n${JSON.stringify(explanation, null, 2)}`)
}
