/**
 * Watches the memory and the event loops of the programs of a fleet, over restarts.
 */
import { readFileSync } from 'node:fs'
import { request } from 'undici'
import type { ProgramName } from '../../src/fleet/fleetHostSettings.js'
import type { SoakFleet } from './soakFleet.js'

const MEMORY_INTERVAL_MS = 20
const LOOP_INTERVAL_MS = 500
const KB_PER_MB = 1_024
const LOOP_DELAY = /^threaddrum_processor_loop_delay_ms(?:\{[^}]*\})? ([\d.]+)/m

/** The most that a program has used. */
export interface ProgramPeak {
  hostName: string
  program: ProgramName
  /** Memory without the pages of files. */
  anonymousMb: number
  /** Longest time for which its event loop stood still. */
  loopDelayMs: number
}

interface RunningProgram {
  peak: ProgramPeak
  pid: number
  metricsAddress: string
}

export class ProgramWatch {
  private readonly _fleet: SoakFleet
  private readonly _peaks = new Map<string, ProgramPeak>()
  private readonly _timers: NodeJS.Timeout[]

  constructor (fleet: SoakFleet) {
    this._fleet = fleet
    this._timers = [setInterval(() => this._readMemory(), MEMORY_INTERVAL_MS), setInterval(() => { this._readLoops().catch(error => { throw error }) }, LOOP_INTERVAL_MS)]
  }

  async stop (): Promise<ProgramPeak[]> {
    for (const timer of this._timers) clearInterval(timer)
    await this._readLoops()
    return [...this._peaks.values()]
  }

  private _running (): RunningProgram[] {
    return this._fleet.hosts.flatMap(host => this._fleet.metricsAddressesOf(host).flatMap(({ program, address }, position) => {
      const process = host.running[position]
      return process && process.end === undefined ? [{ peak: this._peakOf(host.name, program), pid: process.pid, metricsAddress: address }] : []
    }))
  }

  private _peakOf (hostName: string, program: ProgramName): ProgramPeak {
    const key = `${hostName} ${program}`
    const peak = this._peaks.get(key) ?? { hostName, program, anonymousMb: 0, loopDelayMs: 0 }
    this._peaks.set(key, peak)
    return peak
  }

  private _readMemory (): void {
    for (const { peak, pid } of this._running()) peak.anonymousMb = Math.max(peak.anonymousMb, anonymousMbOf(pid))
  }

  private async _readLoops (): Promise<void> {
    await Promise.all(this._running().map(async ({ peak, metricsAddress }) => {
      peak.loopDelayMs = Math.max(peak.loopDelayMs, await loopDelayMsAt(metricsAddress))
    }))
  }
}

/** 0 for a process that has ended. */
function anonymousMbOf (pid: number): number {
  try {
    return Math.round(Number(/RssAnon:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? 0) / KB_PER_MB)
  } catch {
    return 0
  }
}

/** 0 for a program that does not tell its metrics. */
async function loopDelayMsAt (address: string): Promise<number> {
  try {
    const response = await request(`http://${address}/metrics`, { signal: AbortSignal.timeout(LOOP_INTERVAL_MS) })
    return Math.round(Number(LOOP_DELAY.exec(await response.body.text())?.[1] ?? 0))
  } catch {
    return 0
  }
}
