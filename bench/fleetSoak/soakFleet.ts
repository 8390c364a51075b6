/**
 * Runs the platform's programs as processes on loopback addresses, one address
 * per host, and injects external faults: signals, link faults, lost disks.
 */
import { mkdirSync, mkdtempSync, readFileSync, renameSync, rmSync, statSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { fileURLToPath, pathToFileURL } from 'node:url'
import { stringify } from 'smol-toml'
import { AddressBlock } from '../../demo/addressBlock.js'
import { ProcessGroup, type ManagedProcess } from '../../demo/processGroup.js'
import type { ProgramName } from '../../src/fleet/fleetHostSettings.js'
import { HostGroup, type HostCounts } from './faultPlan.js'
import { ADDRESS_VARIABLE, FAULTS_VARIABLE, NO_FAULTS, type LinkFaults } from './netFaults.js'
import { HEARTBEAT_MS, pause } from './soakEndpoint.js'
import { DRAIN_MS } from './soakChecks.js'

const DIST = join(dirname(fileURLToPath(import.meta.url)), '../..')
const DATA_CENTRES = ['north', 'south', 'east']
/** Number of hosts per block of addresses. */
const HOSTS_PER_BLOCK = 14
const GRACE_S = 5
export const DEFAULT_MEMORY_MB = 300
/** The platform starts a program that ended by itself again after such a time. */
const RESTART_AFTER_MS = 300
/** Time for a program's last log lines to arrive in its file. */
const LOG_WRITE_MS = 100
const LISTENING_POLL_MS = 5
/** The bit of SIGHUP in a set of signals, as the kernel tells it. */
const HANG_UP_BIT = 1n
const LAST_LINES_COUNT = 3
const LAST_LINE_LENGTH = 300

/** What a settings file is while it is being changed. */
export enum SettingsWrite {
  Whole = 'whole',
  CutShort = 'cutShort',
  Absent = 'absent'
}

enum Port {
  Callers = 7110,
  Readiness = 7111,
  Control = 7112,
  Addresses = 7113,
  FirstInternal = 7120,
  LastInternal = 7122,
  EdgeMetrics = 7130,
  ControlMetrics = 7131,
  StoreMetrics = 7132
}

export interface SoakFleetOptions {
  /** Memory limit that the settings of the hosts of a group state. */
  memoryMbOf?: (group: HostGroup) => number
  /** Node.js flags of the programs of a group. */
  nodeFlagsOf?: (program: ProgramName) => string[]
  /** Descriptors that the settings of all hosts state; none if undefined. */
  maxDescriptorsCount?: number
  /** Share of a core that the settings of all hosts state; none if undefined. An entry host has bounds of its own only with it. */
  processorShare?: number
  /** Whether faults can be injected into the links between the programs; they can if undefined. */
  hasLinkFaults?: boolean
  /** Whether programs that end by themselves are started again; they are not if undefined. */
  restartsOwnEnds?: boolean
}

export class SoakHost {
  readonly name: string
  readonly ip: string
  readonly group: HostGroup
  readonly dataCentre: string
  readonly programs: ProgramName[]
  running: ManagedProcess[] = []
  startsCount = 0
  settingsVersion = 0

  constructor (name: string, ip: string, group: HostGroup, dataCentre: string) {
    this.name = name
    this.ip = ip
    this.group = group
    this.dataCentre = dataCentre
    this.programs = programsOf(group)
  }
}

function programsOf (group: HostGroup): ProgramName[] {
  switch (group) {
    case HostGroup.Control:
      return ['control', 'edge']
    case HostGroup.Entry:
      return ['edge']
    case HostGroup.Store:
      return ['store']
  }
}

export class SoakFleet {
  readonly folder = mkdtempSync(join(tmpdir(), 'threaddrum-soak-'))
  readonly hosts: SoakHost[] = []
  /** Programs that exited without having been stopped. */
  readonly unexpectedExits: string[] = []
  private readonly _blocks: AddressBlock[]
  private readonly _processes: ProcessGroup
  private readonly _stopped = new Set<ManagedProcess>()
  private readonly _handledEnds: Array<Promise<void>> = []
  /** Called when the programs of a host have been started. */
  onStart: (host: SoakHost) => void = () => {}
  private _faults: LinkFaults = structuredClone(NO_FAULTS)
  private _usedIpsCount = 0
  private readonly _options: SoakFleetOptions

  private constructor (blocks: AddressBlock[], options: SoakFleetOptions) {
    this._blocks = blocks
    this._options = options
    this._processes = new ProcessGroup(this.folder, join(DIST, 'demo/guardian.js'))
    this._writeFaults()
  }

  /** @param endpointsCount number of addresses reserved for endpoints */
  static async create (counts: HostCounts, endpointsCount: number, options: SoakFleetOptions = {}): Promise<SoakFleet> {
    const hostsCount = Object.values(counts).reduce((sum: number, count: number) => sum + count, 0)
    const blocks: AddressBlock[] = []
    while (blocks.length * HOSTS_PER_BLOCK < hostsCount + endpointsCount) blocks.push(await AddressBlock.acquire())
    const fleet = new SoakFleet(blocks, options)
    for (const group of Object.values(HostGroup)) {
      for (let number = 0; number < counts[group]; number++) {
        fleet.hosts.push(new SoakHost(`${group}-${number + 1}`, fleet.allocateIp(), group, DATA_CENTRES[number % DATA_CENTRES.length] ?? ''))
      }
    }
    return fleet
  }

  allocateIp (): string {
    const number = this._usedIpsCount++
    const block = this._blocks[Math.floor(number / HOSTS_PER_BLOCK)]
    if (!block) throw new Error(`no loopback address left: all ${number} are allocated`)
    return block.ip(1 + number % HOSTS_PER_BLOCK)
  }

  hostsOf (group: HostGroup): SoakHost[] {
    return this.hosts.filter(host => host.group === group)
  }

  get controlAddresses (): string[] {
    return this.hostsOf(HostGroup.Control).map(({ ip }) => `${ip}:${Port.Control}`)
  }

  /** Addresses that callers may use. */
  get callerAddresses (): string[] {
    return [...this.hostsOf(HostGroup.Control), ...this.hostsOf(HostGroup.Entry)].map(({ ip }) => `${ip}:${Port.Callers}`)
  }

  /** Undefined for a host that serves no callers. */
  callerAddressOf ({ ip, programs }: SoakHost): string | undefined {
    return programs.includes('edge') ? `${ip}:${Port.Callers}` : undefined
  }

  /** Where a host answers look-ups of addresses. */
  lookupAddressOf ({ ip }: SoakHost): string {
    return `${ip}:${Port.Addresses}`
  }

  readinessAddressOf ({ ip }: SoakHost): string {
    return `${ip}:${Port.Readiness}`
  }

  /** Where a control host answers operators in this project's own interface. */
  operatorAddressOf ({ ip }: SoakHost): string {
    return `${ip}:${Port.FirstInternal + 1}`
  }

  /** Where the programs of a host tell their metrics. */
  metricsAddressesOf ({ ip, programs }: SoakHost): Array<{ program: ProgramName, address: string }> {
    const ports = { edge: Port.EdgeMetrics, control: Port.ControlMetrics, store: Port.StoreMetrics }
    return programs.map(program => ({ program, address: `${ip}:${ports[program]}` }))
  }

  /** Where the programs of a host listen. */
  listenersOf ({ ip, programs }: SoakHost): string[] {
    const ports = {
      edge: [Port.Callers, Port.Readiness, Port.Addresses, Port.EdgeMetrics],
      control: [Port.Control, Port.FirstInternal, Port.FirstInternal + 1, Port.ControlMetrics],
      store: [Port.LastInternal, Port.StoreMetrics]
    }
    return programs.flatMap(program => ports[program].map(port => `${ip}:${port}`))
  }

  startAll (): void {
    for (const host of this.hosts) this.start(host)
  }

  /** Does nothing for a host that another fault has already restarted, as its ports are in use. */
  start (host: SoakHost): void {
    if (host.running.some(({ end }) => end === undefined)) return
    const settingsFile = this._writeSettings(host)
    host.startsCount++
    host.running = host.programs.map(program => this._spawn(host, program, settingsFile))
    this.onStart(host)
  }

  /** Begins a change of the settings of a host: leaves none, or so much of the new ones. */
  beginSettingsChange (host: SoakHost, write: SettingsWrite, share: number): void {
    host.settingsVersion++
    const file = this._writeSettings(host, '.next')
    const text = readFileSync(file, 'utf8')
    if (write === SettingsWrite.Whole) renameSync(file, this._settingsFile(host))
    else if (write === SettingsWrite.Absent) rmSync(this._settingsFile(host), { force: true })
    else writeFileSync(this._settingsFile(host), text.slice(0, Math.floor(share * text.length)))
  }

  /** Ends a change of the settings, in place. */
  endSettingsChange (host: SoakHost): void {
    this._writeSettings(host)
  }

  /**
   * A program of the soak is loaded module by module before its first statement, unlike a
   * bundle behind platform/launch.cjs, and until then a signal ends it, as it ends any program of
   * Node.js: a signal that comes earlier is held back until it listens.
   */
  async hangUp ({ running }: SoakHost): Promise<void> {
    await Promise.all(running.map(async process => {
      while (process.end === undefined && !listensToHangUp(process.pid)) await pause(LISTENING_POLL_MS)
      process.signal('SIGHUP')
    }))
  }

  /** Asks programs once more that have been asked to stop. */
  stopAgain (host: SoakHost): void {
    this._signal(host, 'SIGTERM')
  }

  async kill (host: SoakHost): Promise<void> {
    await this._terminate(host, 'SIGKILL')
  }

  /** Stops gracefully; kills the programs after the grace period. */
  async stop (host: SoakHost): Promise<void> {
    const killing = setTimeout(() => this._signal(host, 'SIGKILL'), GRACE_S * 1_000)
    await this._terminate(host, 'SIGTERM')
    clearTimeout(killing)
  }

  freeze (host: SoakHost): void {
    this._signal(host, 'SIGSTOP')
  }

  thaw (host: SoakHost): void {
    this._signal(host, 'SIGCONT')
  }

  /** Ends a suspension: the monotonic clock of the programs has not counted the time since they were frozen. */
  resume (host: SoakHost): void {
    this._faults.suspensions[host.ip] = (this._faults.suspensions[host.ip] ?? 0) + 1
    this._writeFaults()
    this.thaw(host)
  }

  /** Deletes the data; only while the programs of the host are down. */
  wipe (host: SoakHost): void {
    rmSync(this._dataFolder(host), { recursive: true, force: true })
  }

  /** Partitions a host from all others, until `heal` is called. */
  isolate (host: SoakHost): void {
    for (const other of this.hosts) if (other !== host) this._faults.cuts.push([host.ip, other.ip])
    this._writeFaults()
  }

  /** Blocks what the host sends to the others, but not what they send to it. */
  isolateOneWay (host: SoakHost): void {
    for (const other of this.hosts) if (other !== host) this._faults.oneWayCuts.push([host.ip, other.ip])
    this._writeFaults()
  }

  heal (host: SoakHost): void {
    this._faults.cuts = this._faults.cuts.filter(([ip]) => ip !== host.ip)
    this._faults.oneWayCuts = this._faults.oneWayCuts.filter(([ip]) => ip !== host.ip)
    this._writeFaults()
  }

  reset ({ ip }: SoakHost): void {
    this._faults.resets[ip] = (this._faults.resets[ip] ?? 0) + 1
    this._writeFaults()
  }

  silence ({ ip }: SoakHost): void {
    this._faults.silences[ip] = (this._faults.silences[ip] ?? 0) + 1
    this._writeFaults()
  }

  /** Terminates all programs and deletes the folder, unless its logs are to be kept. */
  async close (keepsLogs: boolean): Promise<void> {
    for (const { running } of this.hosts) for (const process of running) this._stopped.add(process)
    await this._processes.killAll()
    await Promise.all(this._handledEnds)
    for (const block of this._blocks) block.release()
    if (!keepsLogs) rmSync(this.folder, { recursive: true, force: true })
  }

  private async _terminate (host: SoakHost, signal: NodeJS.Signals): Promise<void> {
    const { running } = host
    for (const process of running) this._stopped.add(process)
    this._signal(host, signal)
    await Promise.all(running.map(async ({ ended }) => await ended))
  }

  private _signal ({ running }: SoakHost, signal: NodeJS.Signals): void {
    for (const process of running) process.signal(signal)
  }

  private _spawn (host: SoakHost, program: ProgramName, settingsFile: string): ManagedProcess {
    const process = this._processes.start(`${host.name}-${program}`, join(DIST, `platform/${program}.js`), [], {
      THREADDRUM_NODE_FILE: settingsFile,
      NODE_OPTIONS: [...this._linkFaultFlags(), ...this._options.nodeFlagsOf?.(program) ?? []].join(' '),
      [FAULTS_VARIABLE]: this._faultsFile,
      [ADDRESS_VARIABLE]: host.ip
    })
    const [startedAtMs, logStart] = [performance.now(), statSync(process.logFile, { throwIfNoEntry: false })?.size ?? 0]
    this._handledEnds.push(process.ended.then(async ({ code, signal }) => {
      const wasStopped = this._stopped.has(process)
      if (wasStopped && (code === 0 || signal === 'SIGKILL' || signal === 'SIGTERM')) return
      const position = this.unexpectedExits.push(`${process.name} with ${code ?? signal} ${Math.round(performance.now() - startedAtMs)} ms after its start${wasStopped ? ', when it was stopped' : ''}`) - 1
      await pause(LOG_WRITE_MS)
      this.unexpectedExits[position] += `; last lines:\n${lastLinesOf(readFileSync(process.logFile).subarray(logStart).toString())}`
      await pause(RESTART_AFTER_MS)
      this._restart(host, process, program)
    }))
    return process
  }

  /** Starts a program that ended by itself, unless its host has been stopped or started since. */
  private _restart (host: SoakHost, ended: ManagedProcess, program: ProgramName): void {
    const position = host.running.indexOf(ended)
    if (this._options.restartsOwnEnds !== true || position < 0 || this._stopped.has(ended)) return
    host.startsCount++
    host.running[position] = this._spawn(host, program, this._writeSettings(host))
  }

  private _linkFaultFlags (): string[] {
    return this._options.hasLinkFaults === false ? [] : [`--import ${pathToFileURL(join(DIST, 'bench/fleetSoak/netFaults.js')).href}`]
  }

  private _settingsFile ({ name }: SoakHost): string {
    return join(this.folder, `${name}.toml`)
  }

  private _writeSettings (host: SoakHost, suffix = ''): string {
    const file = `${this._settingsFile(host)}${suffix}`
    const seeds = rotated(this.controlAddresses, host.settingsVersion)
    const { maxDescriptorsCount } = this._options
    mkdirSync(this._dataFolder(host), { recursive: true })
    writeFileSync(file, stringify({
      host: { name: host.name, ip: host.ip, dataCentre: host.dataCentre, isFirstStart: host.startsCount === 0, dataFolder: this._dataFolder(host), memoryMb: this._options.memoryMbOf?.(host.group) ?? DEFAULT_MEMORY_MB, ...(maxDescriptorsCount === undefined ? {} : { maxDescriptorsCount }), ...(this._options.processorShare === undefined ? {} : { processorShare: this._options.processorShare }) },
      listen: {
        callers: `${host.ip}:${Port.Callers}`,
        readiness: `${host.ip}:${Port.Readiness}`,
        control: `${host.ip}:${Port.Control}`,
        addresses: `${host.ip}:${Port.Addresses}`
      },
      cluster: { seedAddresses: seeds, internalPorts: [Port.FirstInternal, Port.LastInternal] },
      metricsPorts: { edge: Port.EdgeMetrics, control: Port.ControlMetrics, store: Port.StoreMetrics },
      bounds: { heartbeatMs: HEARTBEAT_MS, toleratedLosses: 1, graceS: GRACE_S, drainMs: DRAIN_MS },
      end: { isWhole: true }
    }))
    return file
  }

  private _dataFolder ({ name }: SoakHost): string {
    return join(this.folder, `${name}-data`)
  }

  private get _faultsFile (): string {
    return join(this.folder, 'faults.json')
  }

  /** Replaces the file atomically, so that readers never see part of it. */
  private _writeFaults (): void {
    const newFile = `${this._faultsFile}.next`
    writeFileSync(newFile, JSON.stringify(this._faults))
    renameSync(newFile, this._faultsFile)
  }
}

/** Whether a process handles SIGHUP by now. */
function listensToHangUp (pid: number): boolean {
  try {
    const caught = /^SigCgt:\s*([0-9a-f]+)$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1] ?? '0'
    return (BigInt(`0x${caught}`) & HANG_UP_BIT) !== 0n
  } catch {
    // It has ended in the meantime.
    return false
  }
}

function rotated<T> (values: readonly T[], count: number): T[] {
  const first = count % Math.max(1, values.length)
  return [...values.slice(first), ...values.slice(0, first)]
}

function lastLinesOf (log: string): string {
  return log.trimEnd().split('\n').slice(-LAST_LINES_COUNT).map(line => `    ${line.slice(0, LAST_LINE_LENGTH)}`).join('\n')
}
