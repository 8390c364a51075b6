/**
 * Kills, stops and freezes processes of a running system at random, one at a
 * time, and brings each back. The first control host and the first entry host
 * are left alone, so that their memory can be followed from begin to end.
 */

import type { ManagedProcess } from '../../demo/processGroup.js'
import type { RandomSource } from '../../src/utils/randomSource.js'

export interface Victim {
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
/** Parts of a hundred. */
const STOP_BELOW = 20
const FREEZE_BELOW = 35

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}

export class Disturber {
  readonly disturbances: Disturbance[] = []
  /** Processes that ended without being told to. */
  readonly ownEnds: string[] = []
  readonly victims = new Map<string, Victim>()
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

  /** Disturbs until the moment of the process clock. */
  async runUntil (endMs: number): Promise<void> {
    while (performance.now() < endMs) {
      await pause(this._random.int(MIN_PAUSE_MS, MAX_PAUSE_MS))
      const names = [...this.victims.keys()]
      await this._disturb(this.victims.get(names[this._random.int(0, names.length - 1)]!)!)
    }
  }

  private async _disturb (victim: Victim): Promise<void> {
    const { process, mayFreeze } = victim
    if (process.end) this.ownEnds.push(`${process.name} ended with ${process.end.code ?? process.end.signal}`)
    const draw = this._random.int(0, 99)
    const what = draw < STOP_BELOW ? 'stopped' : draw < FREEZE_BELOW && mayFreeze ? 'frozen' : 'killed'
    this.disturbances.push({ atS: Math.round((performance.now() - this._startMs) / 1_000), name: process.name, what })
    if (what === 'frozen') {
      process.signal('SIGSTOP')
      await pause(FREEZE_MS)
      process.signal('SIGCONT')
      return
    }
    const end = await process.stop(what === 'stopped' ? 'SIGTERM' : 'SIGKILL')
    if (what === 'stopped' && end.code !== 0) this.ownEnds.push(`${process.name} ended its planned stop with ${end.code ?? end.signal}`)
    await pause(this._random.int(0, MAX_DOWN_MS))
    victim.process = victim.restart()
  }
}
