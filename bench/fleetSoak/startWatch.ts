/**
 * Watches that programs which are asked to run serve, once what hit their host has been
 * over for a while.
 */
import { connect } from 'node:net'
import { parseAddress } from '../../src/utils/settings.js'
import { pause } from './soakEndpoint.js'
import type { SoakFleet, SoakHost } from './soakFleet.js'
import type { Disturbance } from './soakRecord.js'

/** A program serves at the latest so long after the last fault of its host. */
export const SERVES_WITHIN_MS = 10_000
type WatchedFleet = Pick<SoakFleet, 'hosts' | 'listenersOf'>

const CHECK_INTERVAL_MS = 1_000
const CONNECT_TIMEOUT_MS = 2_000
/** A busy machine may answer late: only what fails each time counts. */
const TRIES_COUNT = 3

export class StartWatch {
  private readonly _fleet: WatchedFleet
  private readonly _disturbances: readonly Disturbance[]
  private readonly _nowMs: () => number
  private readonly _startedAtMs: number
  private readonly _silentListeners = new Set<string>()

  constructor (fleet: WatchedFleet, disturbances: readonly Disturbance[], nowMs: () => number) {
    this._fleet = fleet
    this._disturbances = disturbances
    this._nowMs = nowMs
    this._startedAtMs = nowMs()
  }

  /** Checks until the faults are over, and once more when all programs have to serve; returns the listeners that did not. */
  async run (faultsOver: Promise<unknown>): Promise<string[]> {
    const over = faultsOver.then(() => true)
    for (let isOver = false; !isOver;) [, isOver] = await Promise.all([this._check(), Promise.race([over, pause(CHECK_INTERVAL_MS).then(() => false)])])
    await pause(Math.max(...this._fleet.hosts.map(host => this._mustServeAtMs(host))) - this._nowMs())
    await this._check()
    return [...this._silentListeners]
  }

  private _mustServeAtMs ({ ip }: SoakHost): number {
    const untilMs = this._disturbances.filter(({ targetIps }) => targetIps.includes(ip)).map(disturbance => disturbance.untilMs)
    return Math.max(this._startedAtMs, ...untilMs) + SERVES_WITHIN_MS
  }

  private async _check (): Promise<void> {
    const hosts = this._fleet.hosts.filter(host => this._mustServeAtMs(host) <= this._nowMs())
    const listeners = hosts.flatMap(host => this._fleet.listenersOf(host).map(address => ({ host, address })))
    await Promise.all(listeners.map(async ({ host, address }) => {
      const isServing = await answers(address)
      // Another fault may have hit the host meanwhile.
      if (!isServing && this._mustServeAtMs(host) <= this._nowMs()) this._silentListeners.add(`${host.name} (${host.programs.join(', ')}) at ${address}`)
    }))
  }
}

async function answers (address: string): Promise<boolean> {
  for (let tries = 0; tries < TRIES_COUNT; tries++) {
    if (await isConnectable(address)) return true
    await pause(CHECK_INTERVAL_MS)
  }
  return false
}

async function isConnectable (address: string): Promise<boolean> {
  const { host, port } = parseAddress(address)
  return await new Promise(resolve => {
    const socket = connect({ host, port, timeout: CONNECT_TIMEOUT_MS })
    const end = (isConnected: boolean): void => {
      socket.destroy()
      resolve(isConnected)
    }
    socket.once('connect', () => end(true)).once('timeout', () => end(false)).once('error', () => end(false))
  })
}
