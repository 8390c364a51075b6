/** `threaddrum drain`: takes an entry host or an endpoint out of use without interrupting running requests. */
import { operatorPaths, type EntryHostStatus } from '../protocol/operators.js'
import { reportFailure, type CommandContext } from './commandContext.js'
import { ExitCode } from './exitCode.js'

export async function runDrainHost (context: CommandContext, hostId: string): Promise<ExitCode> {
  const hosts = await entryHosts(context)
  if (!Array.isArray(hosts)) return hosts.exitCode
  const host = hosts.find(candidate => candidate.hostId === hostId)
  if (!host) {
    context.output.error(`no entry host has the id "${hostId}"; known entry hosts: ${hosts.map(candidate => candidate.hostId).join(', ')}`)
    return ExitCode.NotFound
  }
  return await post(context, host, operatorPaths.drain, `entry host ${hostId}`)
}

/** Sends the drain to the first entry host that accepts it; that host forwards it to the others. */
export async function runDrainEndpoint (context: CommandContext, endpointId: string): Promise<ExitCode> {
  const hosts = await entryHosts(context)
  if (!Array.isArray(hosts)) return hosts.exitCode
  const path = `${operatorPaths.endpoints}${encodeURIComponent(endpointId)}/drain`
  let exitCode = ExitCode.NotFound
  for (const host of hosts) {
    exitCode = await post(context, host, path, `endpoint ${endpointId} at ${host.hostId}`)
    if (exitCode === ExitCode.Done) return exitCode
  }
  return exitCode
}

async function entryHosts (context: CommandContext): Promise<EntryHostStatus[] | { exitCode: ExitCode }> {
  const answer = await context.client.status(context.progress)
  if (answer.kind !== 'answered') return { exitCode: reportFailure(context, 'status', answer) }
  return answer.value.entryHosts
}

async function post (context: CommandContext, host: EntryHostStatus, path: string, what: string): Promise<ExitCode> {
  if (host.operatorAddress === undefined) {
    context.output.error(`${what}: entry host ${host.hostId} has not announced an operator address`)
    return ExitCode.Refused
  }
  const answer = await context.client.requestEntryHost(host.operatorAddress, { method: 'POST', path, body: {} }, context.progress)
  if (answer.kind !== 'answered') return reportFailure(context, what, answer)
  context.output.print(context.asJson ? JSON.stringify(answer.value) : `${what}: draining`)
  return ExitCode.Done
}
