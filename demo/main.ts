/**
 * `npm start`: brings up a whole system on loopback addresses, runs a rollout
 * job on a deck of Dutch practice cards through a change of weights, checks
 * the result against the stand-ins' own records, and stops in order. With
 * `--keep` it stays up until Ctrl-C.
 */
import { parseArgs } from 'node:util'
import { DemoRun } from './demoRun.js'
import { LocalSystem } from './localSystem.js'
import { say } from './report.js'

const MAX_LOG_LINES = 15

async function main (): Promise<number> {
  const { values } = parseArgs({ options: { keep: { type: 'boolean', default: false } } })
  const system = await LocalSystem.create()
  const run = new DemoRun(system)
  try {
    await run.bringUp()
    await run.askAsCaller()
    await run.train()
    if (values.keep) await run.keep()
    await run.stop()
    say('done')
    return 0
  } catch (error) {
    say(`the demo failed: ${String(error)}`)
    showLogs(system)
    return 1
  } finally {
    await system.dispose()
  }
}

function showLogs (system: LocalSystem): void {
  for (const managed of system.processes.processes) {
    const lines = managed.log().trimEnd().split('\n').slice(-MAX_LOG_LINES)
    say(`--- ${managed.name} ${managed.end ? `(ended with ${managed.end.code ?? managed.end.signal})` : '(running)'}`)
    say(lines.join('\n'))
  }
}

process.exitCode = await main()
