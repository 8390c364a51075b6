/** The command line of `threaddrum`: options, help and command dispatch. */
import { cac, type CAC } from 'cac'
import { ResourceKind } from '../protocol/resources.js'
import { systemClock, type Clock } from '../utils/clock.js'
import { SettingsError } from '../utils/errors.js'
import { Progress } from '../utils/progress.js'
import { systemRandom } from '../utils/randomSource.js'
import { Scope } from '../utils/scope.js'
import { addressSchema } from '../utils/settings.js'
import { runApply, runDelete } from './applyCommand.js'
import { FileKind, runCheck, type SettingsSchemas } from './checkCommand.js'
import type { CommandContext } from './commandContext.js'
import { runDrainEndpoint, runDrainHost } from './drainCommand.js'
import { ExitCode } from './exitCode.js'
import { runExplain } from './explainCommand.js'
import { explainFromLogs } from './logExplanation.js'
import { runGet } from './getCommand.js'
import { OperatorClient } from './operatorClient.js'
import type { Output } from './output.js'
import { runLiftQuarantine, runListQuarantine } from './quarantineCommand.js'
import { runJobStatus, runStatus } from './statusCommand.js'
import { runWatch } from './watchCommand.js'

export interface CommandLineContext {
  version: string
  output: Output
  settingsSchemas: SettingsSchemas
  environment: Record<string, string | undefined>
  /** Defaults to the system clock; tests pass their own. */
  clock?: Clock
}

/** Options as parsed by cac: numbers, strings and boolean flags. */
type Options = Record<string, unknown>

enum QuarantineAction {
  List = 'list',
  Lift = 'lift'
}

const CONTROL_VARIABLE = 'THREADDRUM_CONTROL'
const DEFAULT_TIMEOUT_MS = 30_000
const UNLIMITED_MS = 2 ** 31 - 1

/** Runs one command and returns its exit code. */
export async function runCommandLine (argv: string[], context: CommandLineContext): Promise<ExitCode> {
  const cli = cac('threaddrum')
  defineCommands(cli, context)
  cli.help()
  cli.version(context.version)
  try {
    cli.parse(['node', 'threaddrum', ...argv], { run: false })
    if (cli.options.help === true || cli.options.version === true) return ExitCode.Done
    if (!cli.matchedCommand) return showUsage(cli, context, argv[0])
    return await cli.runMatchedCommand() as ExitCode
  } catch (error) {
    if (!isUsageError(error)) throw error
    context.output.error((error as Error).message)
    return ExitCode.Usage
  }
}

function showUsage (cli: CAC, { output }: CommandLineContext, given: string | undefined): ExitCode {
  output.error(given === undefined ? 'a command is required' : `unknown command "${given}"`)
  cli.outputHelp()
  return ExitCode.Usage
}

function isUsageError (error: unknown): boolean {
  return error instanceof SettingsError || (error instanceof Error && error.name === 'CACError')
}

function defineCommands (cli: CAC, context: CommandLineContext): void {
  cli.option('--control <addresses>', `Operator addresses of control hosts, ip:port, comma-separated (or ${CONTROL_VARIABLE})`)
  cli.option('--timeout-ms <ms>', `Give up after this time (default: ${DEFAULT_TIMEOUT_MS})`)
  cli.option('--json', 'Print JSON')
  defineChanges(cli, context)
  defineReads(cli, context)
  defineOperations(cli, context)
}

function defineChanges (cli: CAC, context: CommandLineContext): void {
  cli.command('apply <...files>', 'Apply the resources in TOML or JSON files')
    .option('--change-id <id>', 'Id of the change; a change that is sent again under the same id is made only once')
    .option('--wait', 'Wait until the change is in force on every entry host; lists the hosts where it is not')
    .action(async (files: string[], options: Options) =>
      await runApply(createCommandContext(context, options), { files, changeId: changeId(options), wait: options.wait === true }))
  cli.command('delete <kind> <name>', 'Delete a resource')
    .option('--change-id <id>', 'Id of the change; a change that is sent again under the same id is made only once')
    .option('--expected-revision <revision>', 'Delete only if this is still its revision')
    .option('--wait', 'Wait until the change is in force on every entry host; lists the hosts where it is not')
    .action(async (kind: string, name: string, options: Options) => await runDelete(createCommandContext(context, options), {
      kind: resourceKind(kind),
      name,
      changeId: changeId(options),
      expectedRevision: optionalNumber(options, 'expectedRevision'),
      wait: options.wait === true
    }))
}

function defineReads (cli: CAC, context: CommandLineContext): void {
  cli.command('get <kind> [name]', `Show resources; a kind is one of ${Object.values(ResourceKind).join(', ')}`)
    .action(async (kind: string, name: string | undefined, options: Options) => await runGet(createCommandContext(context, options), resourceKind(kind), name))
  cli.command('watch', 'Show changes of resources as they happen')
    .option('--from-revision <revision>', 'Show changes after this revision', { default: 0 })
    .option('--kind <kind>', 'Only resources of this kind')
    .option('--max-events <count>', 'Exit after this many changes')
    .action(async (options: Options) => await runWatch(createCommandContext(context, options, UNLIMITED_MS), {
      fromRevision: optionalNumber(options, 'fromRevision') ?? 0,
      kind: options.kind === undefined ? undefined : resourceKind(String(options.kind)),
      maxEventsCount: optionalNumber(options, 'maxEvents')
    }))
  cli.command('status', 'Show hosts and the revision in force on each, or the progress of a job')
    .option('--job <name>', 'Show the progress of a rollout job')
    .option('--follow', 'Show the progress every second until the timeout')
    .action(async (options: Options) => options.job === undefined
      ? await runStatus(createCommandContext(context, options))
      : await runJobStatus(createCommandContext(context, options), String(options.job), options.follow === true))
  cli.command('explain <id>', 'Explain why a request or a sample was routed as it was')
    .option('--logs <files>', 'Search these collected log files instead of querying the hosts, comma-separated')
    .action(async (id: string, options: Options) => options.logs === undefined
      ? await runExplain(createCommandContext(context, options), id)
      : explainFromLogs({ id, files: String(options.logs).split(','), output: context.output, asJson: options.json === true }))
}

function defineOperations (cli: CAC, context: CommandLineContext): void {
  cli.command('drain [hostId]', 'Take an entry host or an endpoint out of use without interrupting running requests')
    .option('--endpoint <id>', 'Drain this endpoint')
    .action(async (hostId: string | undefined, options: Options) => {
      if (options.endpoint !== undefined) return await runDrainEndpoint(createCommandContext(context, options), String(options.endpoint))
      if (hostId === undefined) throw new SettingsError('drain: expected the id of an entry host, or --endpoint ID')
      return await runDrainHost(createCommandContext(context, options), hostId)
    })
  cli.command('quarantine <action> [digest]', 'list: requests that are withheld because endpoints crashed under them; lift DIGEST: release one')
    .action(async (action: string, digest: string | undefined, options: Options) => {
      if (oneOf(QuarantineAction, action, 'action') === QuarantineAction.List) return await runListQuarantine(createCommandContext(context, options))
      if (digest === undefined) throw new SettingsError('quarantine lift: expected the digest of a request, as "quarantine list" shows it')
      return await runLiftQuarantine(createCommandContext(context, options), String(digest))
    })
  cli.command('check <kind> <...files>', `Check files; a kind is one of ${Object.values(FileKind).join(', ')}`)
    .action((kind: string, files: string[]) => runCheck(context.output, context.settingsSchemas, oneOf(FileKind, kind, 'kind'), files))
}

function createCommandContext (context: CommandLineContext, options: Options, defaultTimeoutMs?: number): CommandContext {
  const clock = context.clock ?? systemClock
  const timeoutMs = optionalNumber(options, 'timeoutMs') ?? defaultTimeoutMs ?? DEFAULT_TIMEOUT_MS
  return {
    client: new OperatorClient(controlAddresses(context, options)),
    progress: new Progress(clock, new Scope('command'), clock.nowMs() + timeoutMs),
    output: context.output,
    asJson: options.json === true
  }
}

function controlAddresses ({ environment }: CommandLineContext, options: Options): string[] {
  const given = options.control ?? environment[CONTROL_VARIABLE]
  if (given === undefined) throw new SettingsError(`--control: expected addresses such as 127.0.0.1:7100, here or in ${CONTROL_VARIABLE}`)
  const addresses = String(given).split(',')
  for (const address of addresses) {
    if (!addressSchema.safeParse(address).success) throw new SettingsError(`--control: expected an address such as 127.0.0.1:7100 (value: "${address}")`)
  }
  return addresses
}

function changeId (options: Options): string {
  return options.changeId === undefined ? systemRandom().id() : String(options.changeId)
}

function resourceKind (given: string): ResourceKind {
  return oneOf(ResourceKind, given, 'kind')
}

function oneOf<T extends string> (values: Record<string, T>, given: string, what: string): T {
  const found = Object.values(values).find(value => value.toLowerCase() === given.toLowerCase())
  if (found === undefined) throw new SettingsError(`${what}: expected one of ${Object.values(values).join(', ')} (value: "${given}")`)
  return found
}

function optionalNumber (options: Options, key: string): number | undefined {
  const value = options[key]
  if (value === undefined) return undefined
  if (typeof value !== 'number' || value < 0) {
    const flag = key.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`)
    throw new SettingsError(`--${flag}: expected a number, 0 or more (value: "${String(value)}")`)
  }
  return value
}
