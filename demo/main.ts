/**
 * `npm start`: starts a complete system on loopback addresses, runs a rollout
 * job on a deck of Dutch practice cards across weight updates, checks the result
 * against the records of the stand-ins, and stops gracefully. With `--keep` the
 * system runs until Ctrl-C.
 */
import { parseArgs } from 'node:util'
import { DemoRun } from './demoRun.js'
import { LocalSystem } from './localSystem.js'
import { printLine } from './report.js'

const MAX_LOG_LINES = 15

async function main (): Promise<number> {
  const { values } = parseArgs({ options: { keep: { type: 'boolean', default: false } } })
  const system = await LocalSystem.create()
  const run = new DemoRun(system)
  try {
    await run.start()
    await run.sendCallerRequests()
    await run.train()
    if (values.keep) await run.runUntilInterrupted()
    await run.stop()
    printLine('done')
    return 0
  } catch (error) {
    printLine(`the demo failed: ${String(error)}`)
    showLogs(system)
    return 1
  } finally {
    await system.dispose()
  }
}

function showLogs (system: LocalSystem): void {
  for (const managed of system.processes.processes) {
    const lines = managed.log().trimEnd().split('\n').slice(-MAX_LOG_LINES)
    printLine(`--- ${managed.name} ${managed.end ? `(exited with ${managed.end.code ?? managed.end.signal})` : '(running)'}`)
    printLine(lines.join('\n'))
  }
}

process.exitCode = await main()
