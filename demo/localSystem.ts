/**
 * A complete system on loopback addresses: three control hosts, three entry
 * hosts in two data centres, and stand-ins, each in its own process. The demo
 * and the process tests use it.
 */
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { stringify } from 'smol-toml'
import { request } from 'undici'
import { clusterStatusSchema, operatorPaths, type ClusterStatus } from '../src/protocol/operators.js'
import { AddressBlock } from './addressBlock.js'
import { ProcessGroup, type ManagedProcess } from './processGroup.js'
import { waitFor } from './waitFor.js'

const DIST_FOLDER = join(dirname(fileURLToPath(import.meta.url)), '..')
const REPOSITORY_FOLDER = join(DIST_FOLDER, '..')

export const CALLER_PORT = 7100
const PEER_PORT = 7200
const OPERATOR_PORT = 7300
const STAND_IN_PORT = 8000

const CONTROL_COUNT = 3
const DATA_CENTRES = ['hal-a', 'hal-a', 'depot']

/** Host numbers within the address block. */
enum HostNumber {
  FirstControl = 1,
  FirstEntry = 4,
  Service = 9,
  WeightStore = 10,
  Scoring = 11,
  Trainer = 12
}

/** Host numbers of the engines. */
const ENGINE_HOSTS = [7, 8, 13, 14]

export type Overrides = Record<string, unknown>

export interface StandInOptions {
  name: string
  host: number
  script: 'engine' | 'service' | 'scoring' | 'weights' | 'train'
  settings: Overrides
}

export class LocalSystem {
  readonly folder: string
  readonly processes: ProcessGroup
  private readonly _addresses: AddressBlock
  private readonly _entryOverrides: Overrides

  private constructor (addresses: AddressBlock, entryOverrides: Overrides) {
    this._addresses = addresses
    this._entryOverrides = entryOverrides
    this.folder = mkdtempSync(join(tmpdir(), 'threaddrum-'))
    this.processes = new ProcessGroup(this.folder, join(DIST_FOLDER, 'demo/guardian.js'))
  }

  /** @param entryOverrides additional tables for the settings of the entry hosts */
  static async create (entryOverrides: Overrides = {}): Promise<LocalSystem> {
    return new LocalSystem(await AddressBlock.acquire(), entryOverrides)
  }

  get controlAddresses (): string[] {
    return range(CONTROL_COUNT).map(index => `${this._controlIp(index)}:${OPERATOR_PORT}`)
  }

  /** Addresses to which callers, trainers and endpoints connect. */
  get entryAddresses (): string[] {
    return DATA_CENTRES.map((_name, index) => `${this._entryIp(index)}:${CALLER_PORT}`)
  }

  get entryOperatorAddresses (): string[] {
    return DATA_CENTRES.map((_name, index) => `${this._entryIp(index)}:${OPERATOR_PORT}`)
  }

  get weightStoreUrl (): string {
    return `http://${this._addresses.ip(HostNumber.WeightStore)}:${STAND_IN_PORT}`
  }

  standInUrl (host: number): string {
    return `http://${this._addresses.ip(host)}:${STAND_IN_PORT}`
  }

  /** Replaces the addresses of the examples with those of this system. */
  replaceExampleAddresses (text: string): string {
    return this._addresses.translate(text)
  }

  /** Copies a file of the repository, with the example addresses replaced by those of this system; returns the path of the copy. */
  localFile (path: string): string {
    const target = join(this.folder, path)
    mkdirSync(dirname(target), { recursive: true })
    writeFileSync(target, this.replaceExampleAddresses(readFileSync(join(REPOSITORY_FOLDER, path), 'utf8')))
    return target
  }

  startControls (): ManagedProcess[] {
    return range(CONTROL_COUNT).map(index => this.startControl(index))
  }

  startControl (index: number): ManagedProcess {
    const initialMembers = range(CONTROL_COUNT).map(member => ({ hostId: `control-${member + 1}`, peerAddress: `${this._controlIp(member)}:${PEER_PORT}` }))
    const hostId = `control-${index + 1}`
    const settings = {
      host: { hostId, dataCentre: DATA_CENTRES[index], peerAddress: `${this._controlIp(index)}:${PEER_PORT}`, operatorAddress: `${this._controlIp(index)}:${OPERATOR_PORT}` },
      storage: { dataFolder: this.dataFolder(index) },
      cluster: { initialMembers }
    }
    return this._start(hostId, 'src/bin/threaddrumControl.js', settings)
  }

  /** Folder in which a control host stores its state. */
  dataFolder (controlIndex: number): string {
    return join(this.folder, `control-${controlIndex + 1}-data`)
  }

  wipeDataFolder (controlIndex: number): void {
    rmSync(this.dataFolder(controlIndex), { recursive: true, force: true })
  }

  startEntries (): ManagedProcess[] {
    return DATA_CENTRES.map((_name, index) => this.startEntry(index))
  }

  startEntry (index: number): ManagedProcess {
    const ip = this._entryIp(index)
    const hostId = `entry-${index + 1}`
    const settings = {
      host: {
        hostId,
        dataCentre: DATA_CENTRES[index],
        callerAddress: `${ip}:${CALLER_PORT}`,
        peerAddress: `${ip}:${PEER_PORT}`,
        operatorAddress: `${ip}:${OPERATOR_PORT}`
      },
      control: { peerAddresses: range(CONTROL_COUNT).map(member => `${this._controlIp(member)}:${PEER_PORT}`) },
      ...this._entryOverrides
    }
    return this._start(hostId, 'src/bin/threaddrumEntry.js', settings)
  }

  startEngine (index: number, overrides: Overrides = {}): ManagedProcess {
    const name = `engine-${index + 1}`
    return this.startStandIn({
      name,
      host: engineHostNumber(index),
      script: 'engine',
      settings: { ...this._endpointSettings(name, 'hints', index), ...overrides }
    })
  }

  startService (overrides: Overrides = {}): ManagedProcess {
    const name = 'deck-service'
    return this.startStandIn({ name, host: HostNumber.Service, script: 'service', settings: { ...this._endpointSettings(name, 'decks', 0), ...overrides } })
  }

  startScoring (overrides: Overrides = {}): ManagedProcess {
    const name = 'scoring-service'
    return this.startStandIn({ name, host: HostNumber.Scoring, script: 'scoring', settings: { ...this._endpointSettings(name, 'scoring', 1), ...overrides } })
  }

  startWeightStore (overrides: Overrides = {}): ManagedProcess {
    return this.startStandIn({ name: 'weight-store', host: HostNumber.WeightStore, script: 'weights', settings: overrides })
  }

  startTrainer (settings: Overrides): ManagedProcess {
    return this.startStandIn({
      name: 'trainer',
      host: HostNumber.Trainer,
      script: 'train',
      settings: { entryHosts: this.entryAddresses, dataCentre: DATA_CENTRES[0], weightStoreUrl: this.weightStoreUrl, ...settings }
    })
  }

  startStandIn ({ name, host, script, settings }: StandInOptions): ManagedProcess {
    const listenAddress = `${this._addresses.ip(host)}:${STAND_IN_PORT}`
    return this._start(name, `standins/${script}.js`, { listenAddress, ...settings })
  }

  engineUrl (index: number): string {
    return this.standInUrl(engineHostNumber(index))
  }

  get serviceUrl (): string {
    return this.standInUrl(HostNumber.Service)
  }

  get trainerUrl (): string {
    return this.standInUrl(HostNumber.Trainer)
  }

  /** Starts the command `threaddrum` in its own process. */
  startCommand (args: string[]): ManagedProcess {
    const name = `threaddrum-${args[0]}-${this.processes.processes.length}`
    return this.processes.start(name, join(DIST_FOLDER, 'src/bin/threaddrum.js'), [...args, '--control', this.controlAddresses.join(',')])
  }

  /** Status from the first control host that answers; undefined if none does. */
  async status (): Promise<ClusterStatus | undefined> {
    for (const address of this.controlAddresses) {
      const value = await getJson(`http://${address}${operatorPaths.status}`)
      const parsed = clusterStatusSchema.safeParse(value)
      if (parsed.success) return parsed.data
    }
    return undefined
  }

  /** Waits until the control hosts report that every entry host holds its lease. */
  async waitUntilReady (): Promise<ClusterStatus> {
    return await waitFor('every entry host to hold its lease', async () => {
      const status = await this.status()
      const isReady = status?.entryHosts.length === DATA_CENTRES.length && status.entryHosts.every(({ holdsLease }) => holdsLease)
      return isReady ? status : undefined
    })
  }

  /** Kills the remaining processes, releases the addresses and removes the folder. */
  async dispose (): Promise<void> {
    await this.processes.killAll()
    this._addresses.release()
    rmSync(this.folder, { recursive: true, force: true })
  }

  private _endpointSettings (endpointId: string, pool: string, dataCentreIndex: number): Overrides {
    return { entryHosts: this.entryAddresses, endpointId, pool, dataCentre: DATA_CENTRES[dataCentreIndex * 2] ?? DATA_CENTRES[0] }
  }

  private _start (name: string, script: string, settings: Overrides): ManagedProcess {
    const settingsFile = join(this.folder, `${name}.toml`)
    writeFileSync(settingsFile, stringify(settings))
    return this.processes.start(name, join(DIST_FOLDER, script), ['--settings', settingsFile])
  }

  private _controlIp (index: number): string {
    return this._addresses.ip(HostNumber.FirstControl + index)
  }

  private _entryIp (index: number): string {
    return this._addresses.ip(HostNumber.FirstEntry + index)
  }
}

/** Fetches JSON from a URL; undefined if the request fails or the body is not JSON. */
export async function getJson (url: string): Promise<unknown> {
  try {
    const answer = await request(url, { signal: AbortSignal.timeout(2_000) })
    return await answer.body.json()
  } catch {
    return undefined
  }
}

function engineHostNumber (index: number): number {
  const host = ENGINE_HOSTS[index]
  if (host === undefined) throw new Error(`no address for engine ${index + 1}: a system has at most ${ENGINE_HOSTS.length} engines`)
  return host
}

function range (count: number): number[] {
  return Array.from({ length: count }, (_value, index) => index)
}
