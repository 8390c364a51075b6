/**
 * Kills, stops and freezes processes of a running system at random, one at a
 * time, and restarts or thaws each. The first control host and the first entry
 * host are spared, so that their memory can be sampled for the entire run.
 */

import type { ManagedProcess } from '../../demo/processGroup.js'
import type { RandomSource } from '../../src/utils/randomSource.js'

export interface DisturbedProcess {
  process: ManagedProcess
  restart: () => ManagedProcess
  mayFreeze: boolean
}

export interface Disturbance {
  atS: number
  name: string
  what: 'killed' | 'stopped' | 'frozen'
}

const MIN_PAUSE_MS = 3_000
const MAX_PAUSE_MS = 7_000
const MAX_DOWN_MS = 2_500
const FREEZE_MS = 6_000
/** Of a draw from 0 to 99: stops below the first, freezes between both, kills otherwise. */
const STOP_PERCENTILE = 20
const FREEZE_PERCENTILE = 35

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}

export class FaultInjector {
  readonly disturbances: Disturbance[] = []
  /** Processes that exited without having been stopped, or failed to stop cleanly. */
  readonly unexpectedExits: string[] = []
  readonly victims = new Map<string, DisturbedProcess>()
  private readonly _random: RandomSource
  private readonly _startMs = performance.now()

  constructor (random: RandomSource) {
    this._random = random
  }

  add (restart: () => ManagedProcess, mayFreeze: boolean): ManagedProcess {
    const process = restart()
    this.victims.set(process.name, { process, restart, mayFreeze })
    return process
  }

  /** Injects faults until the given time of `performance.now()`. */
  async runUntil (endMs: number): Promise<void> {
    while (performance.now() < endMs) {
      await pause(this._random.int(MIN_PAUSE_MS, MAX_PAUSE_MS))
      const names = [...this.victims.keys()]
      await this._disturb(this.victims.get(names[this._random.int(0, names.length - 1)]!)!)
    }
  }

  private async _disturb (victim: DisturbedProcess): Promise<void> {
    const { process, mayFreeze } = victim
    if (process.end) this.unexpectedExits.push(`${process.name} exited with ${process.end.code ?? process.end.signal}`)
    const draw = this._random.int(0, 99)
    const what = draw < STOP_PERCENTILE ? 'stopped' : draw < FREEZE_PERCENTILE && mayFreeze ? 'frozen' : 'killed'
    this.disturbances.push({ atS: Math.round((performance.now() - this._startMs) / 1_000), name: process.name, what })
    if (what === 'frozen') {
      process.signal('SIGSTOP')
      await pause(FREEZE_MS)
      process.signal('SIGCONT')
      return
    }
    const end = await process.stop(what === 'stopped' ? 'SIGTERM' : 'SIGKILL')
    if (what === 'stopped' && end.code !== 0) this.unexpectedExits.push(`${process.name} exited from a planned stop with ${end.code ?? end.signal}`)
    await pause(this._random.int(0, MAX_DOWN_MS))
    victim.process = victim.restart()
  }
}
