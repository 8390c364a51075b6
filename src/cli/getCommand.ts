/** `threaddrum get`: shows all resources of a kind, or one by its name. */
import type { Resource, ResourceKind } from '../protocol/resources.js'
import { reportFailure, type CommandContext } from './commandContext.js'
import { ExitCode } from './exitCode.js'
import { renderTable } from './output.js'

const MAX_SUMMARY_CHARS = 80

export async function runGet (context: CommandContext, kind: ResourceKind, name: string | undefined): Promise<ExitCode> {
  return name === undefined ? await listAll(context, kind) : await getOne(context, kind, name)
}

async function listAll (context: CommandContext, kind: ResourceKind): Promise<ExitCode> {
  const answer = await context.client.list(kind, context.progress)
  if (answer.kind !== 'answered') return reportFailure(context, kind, answer)
  const resources = answer.value
  const rows = resources.map(({ name, revision, spec }) => [name, revision, summarize(spec)])
  context.output.print(context.asJson ? asFile(resources) : renderTable([kind, 'revision', 'spec'], rows))
  return ExitCode.Done
}

async function getOne (context: CommandContext, kind: ResourceKind, name: string): Promise<ExitCode> {
  const answer = await context.client.get(kind, name, context.progress)
  if (answer.kind !== 'answered') return reportFailure(context, `${kind} ${name}`, answer)
  const resource = answer.value
  const rows = Object.entries(resource.spec).map(([key, value]) => [key, summarize(value)])
  const heading = `${kind} ${name}, revision ${resource.revision}`
  context.output.print(context.asJson ? asFile([resource]) : `${heading}\n${renderTable(['key', 'value'], rows)}`)
  return ExitCode.Done
}

/** In the format that `apply` reads, so that a change can start from the current state. */
function asFile (resources: Resource[]): string {
  return JSON.stringify({ resources }, null, 2)
}

function summarize (value: unknown): string {
  const text = typeof value === 'string' ? value : JSON.stringify(value)
  return text.length <= MAX_SUMMARY_CHARS ? text : `${text.slice(0, MAX_SUMMARY_CHARS - 1)}…`
}
