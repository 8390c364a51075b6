/** The command line of `threaddrum`: options, help, and which command runs. */
import { cac, type CAC } from 'cac'
import { ResourceKind } from '../protocol/resources.js'
import { systemClock, type Clock } from '../utils/clock.js'
import { SettingsError } from '../utils/errors.js'
import { Progress } from '../utils/progress.js'
import { systemRandom } from '../utils/randomSource.js'
import { Scope } from '../utils/scope.js'
import { addressSchema } from '../utils/settings.js'
import { runApply, runDelete } from './applyCommand.js'
import { CheckedAs, runCheck, type SettingsSchemas } from './checkCommand.js'
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

export interface CommandLineParts {
  version: string
  output: Output
  settingsSchemas: SettingsSchemas
  environment: Record<string, string | undefined>
  /** The system's clock unless a test brings its own. */
  clock?: Clock
}

/** Options as cac hands them over: numbers are parsed, the rest is text or a switch. */
type Options = Record<string, unknown>

enum QuarantineAction {
  List = 'list',
  Lift = 'lift'
}

const CONTROL_VARIABLE = 'THREADDRUM_CONTROL'
const DEFAULT_TIMEOUT_MS = 30_000
const UNLIMITED_MS = 2 ** 31 - 1

/** Runs one command and tells how it ended. */
export async function runCommandLine (argv: string[], parts: CommandLineParts): Promise<ExitCode> {
  const cli = cac('threaddrum')
  defineCommands(cli, parts)
  cli.help()
  cli.version(parts.version)
  try {
    cli.parse(['node', 'threaddrum', ...argv], { run: false })
    if (cli.options.help === true || cli.options.version === true) return ExitCode.Done
    if (!cli.matchedCommand) return showUsage(cli, parts, argv[0])
    return await cli.runMatchedCommand() as ExitCode
  } catch (error) {
    if (!isUsageError(error)) throw error
    parts.output.error((error as Error).message)
    return ExitCode.Usage
  }
}

function showUsage (cli: CAC, { output }: CommandLineParts, given: string | undefined): ExitCode {
  output.error(given === undefined ? 'a command is required' : `unknown command "${given}"`)
  cli.outputHelp()
  return ExitCode.Usage
}

function isUsageError (error: unknown): boolean {
  return error instanceof SettingsError || (error instanceof Error && error.name === 'CACError')
}

function defineCommands (cli: CAC, parts: CommandLineParts): void {
  cli.option('--control <addresses>', `Operator addresses of control hosts, ip:port, comma-separated (or ${CONTROL_VARIABLE})`)
  cli.option('--timeout-ms <ms>', `Give up after this time (default: ${DEFAULT_TIMEOUT_MS})`)
  cli.option('--json', 'Print JSON')
  defineChanges(cli, parts)
  defineReads(cli, parts)
  defineOperations(cli, parts)
}

function defineChanges (cli: CAC, parts: CommandLineParts): void {
  cli.command('apply <...files>', 'Apply the resources in TOML or JSON files')
    .option('--change-id <id>', 'Id of the change: the same id makes it once, however often it is sent')
    .option('--wait', 'Wait until it is in force on every entry host; names those where it is not')
    .action(async (files: string[], options: Options) =>
      await runApply(context(parts, options), { files, changeId: changeId(options), wait: options.wait === true }))
  cli.command('delete <kind> <name>', 'Delete a resource')
    .option('--change-id <id>', 'Id of the change: the same id makes it once, however often it is sent')
    .option('--expected-revision <revision>', 'Delete only if this is still its revision')
    .option('--wait', 'Wait until it is in force on every entry host; names those where it is not')
    .action(async (kind: string, name: string, options: Options) => await runDelete(context(parts, options), {
      kind: resourceKind(kind),
      name,
      changeId: changeId(options),
      expectedRevision: optionalNumber(options, 'expectedRevision'),
      wait: options.wait === true
    }))
}

function defineReads (cli: CAC, parts: CommandLineParts): void {
  cli.command('get <kind> [name]', `Show resources; a kind is one of ${Object.values(ResourceKind).join(', ')}`)
    .action(async (kind: string, name: string | undefined, options: Options) => await runGet(context(parts, options), resourceKind(kind), name))
  cli.command('watch', 'Show changes of resources as they are made')
    .option('--from-revision <revision>', 'Show changes after this revision', { default: 0 })
    .option('--kind <kind>', 'Only resources of this kind')
    .option('--max-events <count>', 'End after so many changes')
    .action(async (options: Options) => await runWatch(context(parts, options, UNLIMITED_MS), {
      fromRevision: optionalNumber(options, 'fromRevision') ?? 0,
      kind: options.kind === undefined ? undefined : resourceKind(String(options.kind)),
      maxEventsCount: optionalNumber(options, 'maxEvents')
    }))
  cli.command('status', 'Show hosts and the revision in force on each, or the progress of a job')
    .option('--job <name>', 'Show the progress of a rollout job')
    .option('--follow', 'Show it every second, until the timeout')
    .action(async (options: Options) => options.job === undefined
      ? await runStatus(context(parts, options))
      : await runJobStatus(context(parts, options), String(options.job), options.follow === true))
  cli.command('explain <id>', 'Say why a request or a sample went where it did')
    .option('--logs <files>', 'Look into these collected log files instead of asking the hosts, comma-separated')
    .action(async (id: string, options: Options) => options.logs === undefined
      ? await runExplain(context(parts, options), id)
      : explainFromLogs({ id, files: String(options.logs).split(','), output: parts.output, asJson: options.json === true }))
}

function defineOperations (cli: CAC, parts: CommandLineParts): void {
  cli.command('drain [hostId]', 'Take an entry host, or an endpoint, out of use without cutting what runs')
    .option('--endpoint <id>', 'Drain this endpoint')
    .action(async (hostId: string | undefined, options: Options) => {
      if (options.endpoint !== undefined) return await runDrainEndpoint(context(parts, options), String(options.endpoint))
      if (hostId === undefined) throw new SettingsError('drain: expected the id of an entry host, or --endpoint ID')
      return await runDrainHost(context(parts, options), hostId)
    })
  cli.command('quarantine <action> [digest]', 'list: requests that go to no endpoint because endpoints ended under them; lift DIGEST: let one go')
    .action(async (action: string, digest: string | undefined, options: Options) => {
      if (oneOf(QuarantineAction, action, 'action') === QuarantineAction.List) return await runListQuarantine(context(parts, options))
      if (digest === undefined) throw new SettingsError('quarantine lift: expected the digest of a request, as "quarantine list" shows it')
      return await runLiftQuarantine(context(parts, options), String(digest))
    })
  cli.command('check <kind> <...files>', `Check files; a kind is one of ${Object.values(CheckedAs).join(', ')}`)
    .action((kind: string, files: string[]) => runCheck(parts.output, parts.settingsSchemas, oneOf(CheckedAs, kind, 'kind'), files))
}

function context (parts: CommandLineParts, options: Options, defaultTimeoutMs?: number): CommandContext {
  const clock = parts.clock ?? systemClock
  const timeoutMs = optionalNumber(options, 'timeoutMs') ?? defaultTimeoutMs ?? DEFAULT_TIMEOUT_MS
  return {
    client: new OperatorClient(controlAddresses(parts, options)),
    progress: new Progress(clock, new Scope('command'), clock.nowMs() + timeoutMs),
    output: parts.output,
    asJson: options.json === true
  }
}

function controlAddresses ({ environment }: CommandLineParts, options: Options): string[] {
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
