/**
 * `threaddrum apply` and `threaddrum delete`: change resources. A change whose
 * answer is lost is sent again under the same id, so that it is made only once.
 */
import type { ResourceKind } from '../protocol/resources.js'
import type { ResourceResult } from '../protocol/resourceCommands.js'
import { unreachable } from '../utils/errors.js'
import { reportFailure, type CommandContext } from './commandContext.js'
import { ExitCode } from './exitCode.js'
import type { OperatorAnswer } from './operatorClient.js'
import { readResourceFile, type DeclaredResource } from './resourceFile.js'
import { waitUntilInForce } from './waitUntilInForce.js'

export interface ApplyOptions {
  files: string[]
  /** Prefix of the change ids; changes sent again under the same prefix are made only once. */
  changeId: string
  /** Wait until every entry host has the changes in force. */
  wait: boolean
}

export interface DeleteOptions {
  kind: ResourceKind
  name: string
  changeId: string
  expectedRevision?: number
  wait: boolean
}

type ChangeOutcome = { kind: 'made', revision: number } | { kind: 'failed', exitCode: ExitCode }

/** @throws SettingsError if a file is invalid; nothing is sent then. */
export async function runApply (context: CommandContext, options: ApplyOptions): Promise<ExitCode> {
  const resources = options.files.flatMap(readResourceFile)
  let revision = 0
  for (const resource of resources) {
    const outcome = await applyOne(context, resource, options.changeId)
    if (outcome.kind === 'failed') return outcome.exitCode
    revision = Math.max(revision, outcome.revision)
  }
  return options.wait ? await waitUntilInForce(context, revision) : ExitCode.Done
}

export async function runDelete (context: CommandContext, options: DeleteOptions): Promise<ExitCode> {
  const { kind, name, expectedRevision } = options
  const answer = await context.client.delete(kind, name, { changeId: options.changeId, expectedRevision }, context.progress)
  const outcome = report(context, `${kind} ${name}`, answer)
  if (outcome.kind === 'failed') return outcome.exitCode
  return options.wait ? await waitUntilInForce(context, outcome.revision) : ExitCode.Done
}

async function applyOne (context: CommandContext, { kind, name, revision, spec }: DeclaredResource, changeId: string): Promise<ChangeOutcome> {
  const change = { changeId: `${changeId}/${kind}/${name}`, expectedRevision: revision, spec }
  const answer = await context.client.put(kind, name, change, context.progress)
  return report(context, `${kind} ${name}`, answer)
}

function report (context: CommandContext, what: string, answer: OperatorAnswer<ResourceResult>): ChangeOutcome {
  if (answer.kind !== 'answered') return { kind: 'failed', exitCode: reportFailure(context, what, answer) }
  const result = answer.value
  switch (result.kind) {
    case 'applied':
    case 'deleted':
      print(context, what, result)
      return { kind: 'made', revision: result.revision }
    case 'conflict':
      context.output.error(`${what}: conflict: its revision is ${result.currentRevision} now; get the resource again and repeat the change on that revision`)
      return { kind: 'failed', exitCode: ExitCode.Conflict }
    case 'invalid':
      context.output.error(`${what}: ${result.field}: ${result.message}`)
      return { kind: 'failed', exitCode: ExitCode.Usage }
    default:
      return unreachable(result)
  }
}

function print ({ output, asJson }: CommandContext, what: string, result: Extract<ResourceResult, { revision: number }>): void {
  output.print(asJson ? JSON.stringify(result) : `${what}: ${result.kind} at revision ${result.revision}`)
}
