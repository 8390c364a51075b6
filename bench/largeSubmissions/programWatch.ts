/**
 * Watches the memory and the event loops of the programs of a fleet.
 */
import { readFileSync } from 'node:fs'
import { request } from 'undici'
import type { ProgramName } from '../../src/fleet/fleetHostSettings.js'
import type { SoakFleet, SoakHost } from '../fleetSoak/soakFleet.js'

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

interface WatchedProgram extends ProgramPeak {
  pid: number
  metricsAddress: string
}

export class ProgramWatch {
  private readonly _programs: WatchedProgram[]
  private readonly _timers: NodeJS.Timeout[]

  constructor (fleet: SoakFleet) {
    this._programs = fleet.hosts.flatMap(host => watchedOf(fleet, host))
    this._timers = [setInterval(() => this._readMemory(), MEMORY_INTERVAL_MS), setInterval(() => { this._readLoops().catch(error => { throw error }) }, LOOP_INTERVAL_MS)]
  }

  async stop (): Promise<ProgramPeak[]> {
    for (const timer of this._timers) clearInterval(timer)
    await this._readLoops()
    return this._programs.map(({ hostName, program, anonymousMb, loopDelayMs }) => ({ hostName, program, anonymousMb, loopDelayMs }))
  }

  private _readMemory (): void {
    for (const program of this._programs) program.anonymousMb = Math.max(program.anonymousMb, anonymousMbOf(program.pid))
  }

  private async _readLoops (): Promise<void> {
    await Promise.all(this._programs.map(async program => {
      program.loopDelayMs = Math.max(program.loopDelayMs, await loopDelayMsAt(program.metricsAddress))
    }))
  }
}

function watchedOf (fleet: SoakFleet, host: SoakHost): WatchedProgram[] {
  return fleet.metricsAddressesOf(host).map(({ program, address }, position) => (
    { hostName: host.name, program, anonymousMb: 0, loopDelayMs: 0, pid: host.running[position]?.pid ?? 0, metricsAddress: address }
  ))
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
