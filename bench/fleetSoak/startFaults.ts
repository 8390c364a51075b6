/**
 * Injects what a start and a change of settings meet on a platform: settings that are
 * being written, signals at any moment, and ports that another program holds.
 */
import { createServer, type Server } from 'node:net'
import type { RandomSource } from '../../src/utils/randomSource.js'
import { parseAddress } from '../../src/utils/settings.js'
import { pause } from './soakEndpoint.js'
import { SettingsWrite, type SoakFleet, type SoakHost } from './soakFleet.js'

const MIN_CHANGE_MS = 50
const MAX_CHANGE_MS = 400
const MAX_HANG_UPS_COUNT = 3
const HANG_UP_GAP_MS = 10
/** A start takes as long on a machine that is not busy. */
const START_PHASE_MS = 700
const MAX_SIGNAL_GAP_MS = 300
/** Programs read their settings by then, on a busy machine too. */
const MAX_CUT_AT_START_MS = 1_500
/** The platform starts a program that has ended after such a time. */
const RESTART_AFTER_MS = 300

enum Series {
  StopDuringStart = 'stopDuringStart',
  StopTwice = 'stopTwice',
  StopBesideHangUp = 'stopBesideHangUp'
}

export class StartFaults {
  private readonly _fleet: SoakFleet
  private readonly _random: RandomSource

  constructor (fleet: SoakFleet, random: RandomSource) {
    this._fleet = fleet
    this._random = random
  }

  /** Starts the hosts one by one, in random order. */
  async startOneByOne (forMs: number): Promise<void> {
    const hosts = [...this._fleet.hosts]
    const gapMs = forMs / hosts.length
    while (hosts.length > 0) {
      for (const host of hosts.splice(this._random.int(0, hosts.length - 1), 1)) this._fleet.start(host)
      await pause(gapMs)
    }
  }

  /** Changes the settings of a host, or of all at once, with SIGHUPs before, between and after, or none. */
  async changeSettings (host: SoakHost): Promise<void> {
    const hosts = this._random.int(0, 2) === 0 ? this._fleet.hosts : [host]
    await Promise.all(hosts.map(async changed => await this._changeSettingsOf(changed)))
  }

  /** A SIGHUP while programs start, and in half of the starts settings that are cut short at first. */
  async disturbStart (host: SoakHost): Promise<void> {
    const hangUpAfterMs = this._random.int(0, START_PHASE_MS)
    const cutForMs = this._random.int(MIN_CHANGE_MS, MAX_CUT_AT_START_MS)
    const isCut = this._random.int(0, 1) === 0
    if (isCut) this._fleet.beginSettingsChange(host, SettingsWrite.CutShort, this._random.real())
    await Promise.all([
      pause(hangUpAfterMs).then(async () => await this._fleet.hangUp(host)),
      isCut ? pause(cutForMs).then(() => this._fleet.endSettingsChange(host)) : undefined
    ])
  }

  /** Kills and starts a host while one of its ports is held, some seconds beyond its start. */
  async restartWithHeldPort (host: SoakHost, forMs: number): Promise<void> {
    await this._fleet.kill(host)
    const server = await holdPort(this._pick(this._fleet.listenersOf(host)))
    await pause(RESTART_AFTER_MS)
    this._fleet.start(host)
    await pause(forMs)
    await new Promise(resolve => server.close(resolve))
  }

  /** Stops a host by signals in series, and starts it as the platform does. */
  async stopInSeries (host: SoakHost): Promise<void> {
    const fleet = this._fleet
    const series = this._pick(Object.values(Series))
    const gapMs = this._random.int(0, MAX_SIGNAL_GAP_MS)
    if (series === Series.StopDuringStart) {
      await fleet.kill(host)
      fleet.start(host)
      await pause(this._random.int(0, START_PHASE_MS))
    }
    if (series === Series.StopBesideHangUp) await fleet.hangUp(host)
    const stopping = fleet.stop(host)
    if (series === Series.StopBesideHangUp) await fleet.hangUp(host)
    if (series === Series.StopTwice) await pause(gapMs).then(() => fleet.stopAgain(host))
    await stopping
    await pause(RESTART_AFTER_MS)
    fleet.start(host)
  }

  private async _changeSettingsOf (host: SoakHost): Promise<void> {
    const random = this._random
    const [before, between, after] = Array.from({ length: 3 }, () => Math.max(0, random.int(-1, MAX_HANG_UPS_COUNT)))
    const [write, share, forMs] = [this._pick(Object.values(SettingsWrite)), random.real(), random.int(MIN_CHANGE_MS, MAX_CHANGE_MS)]
    await this._hangUp(host, before)
    this._fleet.beginSettingsChange(host, write, share)
    await this._hangUp(host, between)
    await pause(forMs)
    this._fleet.endSettingsChange(host)
    await this._hangUp(host, after)
  }

  private async _hangUp (host: SoakHost, count = 0): Promise<void> {
    for (let number = 0; number < count; number++) {
      await this._fleet.hangUp(host)
      await pause(HANG_UP_GAP_MS)
    }
  }

  private _pick<T> (values: readonly T[]): T {
    const value = values[this._random.int(0, values.length - 1)]
    if (value === undefined) throw new RangeError('nothing to pick from')
    return value
  }
}

/** A listener that ends what connects to it. */
async function holdPort (address: string): Promise<Server> {
  const { host, port } = parseAddress(address)
  const server = createServer(socket => socket.destroy())
  return await new Promise((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => resolve(server))
  })
}
