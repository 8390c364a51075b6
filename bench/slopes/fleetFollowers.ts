/**
 * The cost of membership information on the users' platform: control hosts in
 * separate processes, with their logs on disk and endpoints that announce
 * themselves, and real followers in this process; `size` counts followers or endpoints.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { ControlProgram } from '../../src/control/controlProgram.js'
import { createLedgers } from '../../src/control/ledgers/createLedgers.js'
import { FleetFollower } from '../../src/fleet/fleetFollower.js'
import { FleetView } from '../../src/fleet/fleetView.js'
import { HostRole } from '../../src/protocol/fleet.js'
import { TcpTransport } from '../../src/transport/tcpTransport.js'
import { systemClock } from '../../src/utils/clock.js'
import { silentLogger } from '../../src/utils/logger.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Scope } from '../../src/utils/scope.js'
import { Supervisor } from '../../src/utils/supervisor.js'
import { announceFleetEndpoints, HEARTBEAT_MS } from './fleetEndpoints.js'
import { MeasuredProcess, serveUsage, usagePerSecond, type Usage } from './childProcess.js'
import type { SlopeMeasurement } from './slope.js'

const CONTROLS = 4
const PEER_PORT = 7400
const OPERATOR_PORT = 7500
const SETTLE_MS = 4_000
const WINDOW_MS = 6_000
const HANG_GUARD_MS = 60_000
const HOSTS_FOR_ENDPOINTS = 50
const STRIKE_SILENT_AFTER_MS = 8_000

export interface FleetControlOptions {
  number: number
  membersCount: number
  endpointsCount: number
  dataFolder: string
}

function addressOf (member: number, port: number): string {
  return `127.0.74.${member}:${port}`
}

/** Called in a child process: starts a control host of the users' platform, to which its share of the endpoints announce themselves. */
export async function runFleetControl (options: FleetControlOptions): Promise<void> {
  const { number, membersCount, dataFolder } = options
  const members = Array.from({ length: membersCount }, (_, index) => index + 1)
  const program = await ControlProgram.start({
    settings: {
      host: { hostId: `control-${number}`, dataCentre: 'a', peerAddress: addressOf(number, PEER_PORT), operatorAddress: addressOf(number, OPERATOR_PORT) },
      storage: { dataFolder },
      cluster: { initialMembers: members.map(member => ({ hostId: `control-${member}`, peerAddress: addressOf(member, PEER_PORT) })) }
    },
    createLedgers,
    logger: silentLogger,
    metrics: memoryMetrics(),
    onFatal: fail,
    fleet: { heartbeatMs: HEARTBEAT_MS, mayForm: true, strikeSilentAfterMs: STRIKE_SILENT_AFTER_MS, toleratedLosses: 1 }
  })
  announceFleetEndpoints(program, options)
  serveUsage(null, { counts: program.transport.counts })
}

function fail (error: unknown): never {
  throw error
}

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}

class FollowerFleet {
  readonly transport = new TcpTransport()
  readonly controls: MeasuredProcess[] = []
  private readonly _scope = new Scope('followers')
  private readonly _views: FleetView[] = []
  private readonly _folder = mkdtempSync(join(tmpdir(), 'threaddrum-slope-'))

  async start (hostsCount: number, endpointsCount: number): Promise<void> {
    for (let number = 1; number <= CONTROLS; number++) {
      const options: FleetControlOptions = { number, membersCount: CONTROLS, endpointsCount, dataFolder: join(this._folder, String(number)) }
      this.controls.push(await MeasuredProcess.start('fleetControl', options))
    }
    await pause(SETTLE_MS)
    for (let number = 1; number <= hostsCount; number++) this._addFollower(number)
  }

  /** Waits until every host knows all other hosts and all endpoints. */
  async waitUntilAllKnown (hostsCount: number, endpointsCount: number): Promise<void> {
    const deadlineMs = systemClock.nowMs() + HANG_GUARD_MS
    const knowsAll = (view: FleetView): boolean => view.hosts(HostRole.Entry).length >= hostsCount && view.ready().length >= endpointsCount
    while (!this._views.every(knowsAll)) {
      if (systemClock.nowMs() > deadlineMs) throw new Error(`not every host knew the entire fleet within ${HANG_GUARD_MS} ms`)
      await pause(50)
    }
  }

  async usages (): Promise<Usage[]> {
    return await Promise.all(this.controls.map(async control => await control.usage()))
  }

  async stop (): Promise<void> {
    this._scope.close('measured')
    for (const control of this.controls) await control.stop()
    rmSync(this._folder, { recursive: true, force: true })
  }

  private _addFollower (number: number): void {
    const view = new FleetView(silentLogger)
    const follower = new FleetFollower({
      clock: systemClock,
      transport: this.transport,
      logger: silentLogger,
      supervisor: new Supervisor(this._scope.child(`follower ${number}`), (_task, error) => fail(error)),
      view,
      seedAddresses: Array.from({ length: CONTROLS }, (_, index) => addressOf(index + 1, PEER_PORT)),
      describe: () => ({ hostId: `entry-${number}`, hostName: `entry-${number}`, dataCentre: 'a', role: HostRole.Entry, isServing: true, callerAddress: `10.0.0.${number}:80` }),
      onFatal: fail
    })
    follower.start()
    this._views.push(view)
  }
}

function meanOf (usages: Usage[], read: (usage: Usage) => number): number {
  return usages.reduce((sum, usage) => sum + read(usage), 0) / usages.length
}

/** Measures a simultaneous start of all hosts, then a window in which only the weights of endpoints change. */
async function readFleet (hostsCount: number, endpointsCount: number): Promise<number[]> {
  const fleet = new FollowerFleet()
  await fleet.start(hostsCount, endpointsCount)
  const startedAtMs = systemClock.nowMs()
  const atStart = await fleet.usages()
  await fleet.waitUntilAllKnown(hostsCount, endpointsCount)
  const knownAfterMs = systemClock.nowMs() - startedAtMs
  const atKnown = await fleet.usages()
  await pause(SETTLE_MS)
  const before = await fleet.usages()
  const own = { processor: process.cpuUsage(), ...fleet.transport.counts, atMs: systemClock.nowMs() }
  await pause(WINDOW_MS)
  const elapsedMs = systemClock.nowMs() - own.atMs
  const used = process.cpuUsage(own.processor)
  const { sentBytes, receivedBytes } = fleet.transport.counts
  const after = await fleet.usages()
  await fleet.stop()
  const steady = after.map((usage, index) => usagePerSecond(before[index]!, usage, elapsedMs))
  const hostSeconds = hostsCount * elapsedMs / 1_000
  return [
    steady.reduce((sum, { processorUs }) => sum + processorUs, 0) / steady.length,
    steady.reduce((sum, { frameBytes }) => sum + frameBytes, 0) / steady.length,
    meanOf(after, ({ liveBytes }) => liveBytes),
    (used.user + used.system) / hostSeconds,
    (sentBytes + receivedBytes - own.sentBytes - own.receivedBytes) / hostSeconds,
    meanOf(atKnown, ({ processorUs }) => processorUs) - meanOf(atStart, ({ processorUs }) => processorUs),
    knownAfterMs
  ]
}

function metricsFor (area: string, what: string): SlopeMeasurement['metrics'] {
  return [
    { name: `${area}.controlUs`, what: `processor time a second of one of ${CONTROLS} control hosts of the users' platform for ${what}`, unit: 'us/s' },
    { name: `${area}.controlBytes`, what: 'bytes a second that it sends and receives for the same', unit: 'bytes/s' },
    { name: `${area}.controlLiveBytes`, what: 'its live memory with the same', unit: 'bytes' },
    { name: `${area}.hostUs`, what: 'processor time a second of one following host for the same', unit: 'us/s' },
    { name: `${area}.hostBytes`, what: 'bytes a second that it sends and receives for the same', unit: 'bytes/s' },
    { name: `${area}.startControlUs`, what: 'processor time of a control host when all hosts start at one moment, until each knows all', unit: 'us' },
    { name: `${area}.startMs`, what: 'the time that this start takes, all hosts in one process', unit: 'ms' }
  ]
}

export const fleetSlopes: SlopeMeasurement[] = [
  {
    metrics: metricsFor('fleetHosts', 'hosts that follow, without endpoints'),
    sizeUnit: 'following hosts',
    sizes: [50, 100, 200, 400],
    repeats: 2,
    read: async size => await readFleet(size, 0)
  },
  {
    metrics: metricsFor('fleetEndpoints', `endpoints whose weights change every few seconds, before ${HOSTS_FOR_ENDPOINTS} hosts`),
    sizeUnit: 'endpoints',
    sizes: [50, 100, 200, 400],
    repeats: 2,
    read: async size => await readFleet(HOSTS_FOR_ENDPOINTS, size)
  }
]
