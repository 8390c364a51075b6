/**
 * `npm start`: starts a complete system on loopback addresses, runs a rollout
 * job on a deck of Dutch practice cards across weight updates, checks the result
 * against the records of the stand-ins, and stops gracefully. With `--keep` the
 * system runs until Ctrl-C, SIGTERM or the end of the terminal, which stop it at any
 * time, also while it starts.
 */
import { parseArgs } from 'node:util'
import { DemoRun } from './demoRun.js'
import { ScopeClosedError } from '../src/utils/errors.js'
import { Scope } from '../src/utils/scope.js'
import { LocalSystem } from './localSystem.js'
import { printLine } from './report.js'

const MAX_LOG_LINES = 15
/** A timer that keeps the process alive; nothing depends on its value. */
const KEEP_ALIVE_MS = 60_000

/** Ctrl-C, a request to stop, and the end of the terminal. */
const STOP_SIGNALS = ['SIGINT', 'SIGTERM', 'SIGHUP'] as const

enum DemoExit {
  Done = 0,
  /** A step failed, or the demo was stopped before it had checked its result. */
  NotDone = 1
}

/** Closes at the first signal. The others change nothing: npm passes on a Ctrl-C that the terminal has sent already. */
function stopScope (): Scope {
  const scope = new Scope('demo')
  for (const signal of STOP_SIGNALS) process.on(signal, () => scope.close(signal))
  // A terminal that was closed takes no more lines; the system is stopped nevertheless.
  process.stdout.on('error', () => {})
  return scope
}

async function main (): Promise<DemoExit> {
  const { values } = parseArgs({ options: { keep: { type: 'boolean', default: false } } })
  const stopped = stopScope()
  const system = await LocalSystem.create()
  const run = new DemoRun(system)
  try {
    await stopped.race(runSteps(run))
    if (values.keep) await runUntilStopped(run, stopped)
    await run.stop()
    printLine('done')
    return DemoExit.Done
  } catch (error) {
    if (error instanceof ScopeClosedError && stopped.isClosed) return await stopEarly(run, stopped, values.keep)
    printLine(`the demo failed: ${String(error)}`)
    showLogs(system)
    return DemoExit.NotDone
  } finally {
    await system.dispose()
  }
}

async function runSteps (run: DemoRun): Promise<void> {
  await run.start()
  await run.sendCallerRequests()
  await run.train()
}

async function runUntilStopped (run: DemoRun, stopped: Scope): Promise<void> {
  run.showHowToUse()
  const keepAlive = setInterval(() => {}, KEEP_ALIVE_MS)
  await new Promise<void>(resolve => stopped.onClose(resolve))
  clearInterval(keepAlive)
}

async function stopEarly (run: DemoRun, stopped: Scope, keeps: boolean): Promise<DemoExit> {
  printLine(`stopped by ${stopped.closeReason} before all steps were done`)
  await run.stopEarly()
  return keeps ? DemoExit.Done : DemoExit.NotDone
}

function showLogs (system: LocalSystem): void {
  for (const managed of system.processes.processes) {
    const lines = managed.log().trimEnd().split('\n').slice(-MAX_LOG_LINES)
    printLine(`--- ${managed.name} ${managed.end ? `(exited with ${managed.end.code ?? managed.end.signal})` : '(running)'}`)
    printLine(lines.join('\n'))
  }
}

// Steps that were left behind may still wait for processes that are gone.
process.exit(await main())
