/**
 * The cost of control: a control host in a separate process with its log on disk,
 * and `size` real control clients of entry hosts in this process.
 */
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { ControlProgram } from '../../src/control/controlProgram.js'
import { createLedgers } from '../../src/control/ledgers/createLedgers.js'
import { NetworkControlClient } from '../../src/controlClient/networkControlClient.js'
import { ResourceCommandKind } from '../../src/protocol/resourceCommands.js'
import { EndpointKind, ResourceKind } from '../../src/protocol/resources.js'
import { TcpTransport } from '../../src/transport/tcpTransport.js'
import { systemClock } from '../../src/utils/clock.js'
import { silentLogger } from '../../src/utils/logger.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Progress } from '../../src/utils/progress.js'
import { systemRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { Supervisor } from '../../src/utils/supervisor.js'
import { MeasuredProcess, serveUsage, usagePerSecond } from './childProcess.js'
import { medianOf, type SlopeMeasurement } from './slope.js'

const HOST = '127.0.73.1'
const PEER_PORT = 7200
const OPERATOR_PORT = 7300
const SETTLE_MS = 3_000
const WINDOW_MS = 6_000
const HANG_GUARD_MS = 60_000
const CHANGES = 20

export interface ControlHostOptions {
  number: number
  membersCount: number
  dataFolder: string
}

/** Called in a child process: starts a control host as the product's binary does. */
export async function runControl ({ number, membersCount, dataFolder }: ControlHostOptions): Promise<void> {
  const addressOf = (member: number, port: number): string => `127.0.73.${member}:${port}`
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
    onFatal: fail
  })
  serveUsage(null, { counts: program.transport.counts })
}

function fail (error: unknown): never {
  throw error
}

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}

export class ControlFleet {
  readonly scope = new Scope('fleet')
  readonly transport = new TcpTransport()
  readonly clients: NetworkControlClient[] = []
  readonly hosts: MeasuredProcess[] = []
  private readonly _folder = mkdtempSync(join(tmpdir(), 'threaddrum-slope-'))

  static async start (controlsCount: number, clientsCount: number): Promise<ControlFleet> {
    const fleet = new ControlFleet()
    for (let number = 1; number <= controlsCount; number++) {
      const options: ControlHostOptions = { number, membersCount: controlsCount, dataFolder: join(fleet._folder, String(number)) }
      fleet.hosts.push(await MeasuredProcess.start('control', options))
    }
    for (let client = 1; client <= clientsCount; client++) fleet._addClient(client, controlsCount)
    await fleet.waitUntil(() => fleet.clients.every(client => client.holdsLease()))
    return fleet
  }

  async waitUntil (condition: () => boolean): Promise<void> {
    const deadlineMs = systemClock.nowMs() + HANG_GUARD_MS
    while (!condition()) {
      if (systemClock.nowMs() > deadlineMs) throw new Error(`the fleet was not ready within ${HANG_GUARD_MS} ms`)
      await pause(20)
    }
  }

  progress (): Progress {
    return new Progress(systemClock, this.scope, systemClock.nowMs() + HANG_GUARD_MS)
  }

  async stop (): Promise<void> {
    this.scope.close('measured')
    for (const host of this.hosts) await host.stop()
    rmSync(this._folder, { recursive: true, force: true })
  }

  /** Changes a pool as an operator would; returns the revision. */
  async change (number: number): Promise<number> {
    const outcome = await this.clients[0]!.submit({
      kind: ResourceCommandKind.Apply,
      changeId: `change-${number}`,
      resourceKind: ResourceKind.EndpointPool,
      name: 'engines',
      spec: { endpointKind: EndpointKind.Engine, model: 'practice-lm', maxQueuedCount: 1_000 + number }
    }, this.progress())
    if (outcome.kind !== 'committed' || outcome.result.kind !== 'applied') throw new Error(JSON.stringify(outcome))
    return outcome.result.revision
  }

  private _addClient (number: number, controlsCount: number): void {
    const client = new NetworkControlClient({
      clock: systemClock,
      random: systemRandom(),
      metrics: memoryMetrics(),
      transport: this.transport,
      supervisor: new Supervisor(this.scope.child(`client ${number}`), (_task, error) => fail(error)),
      onFatal: fail,
      controlAddresses: Array.from({ length: controlsCount }, (_, index) => `127.0.73.${index + 1}:${PEER_PORT}`),
      host: { hostId: `entry-${number}`, dataCentre: 'a', callerAddress: `${HOST}:${20_000 + number}`, peerAddress: `${HOST}:${30_000 + number}`, incarnation: 1 }
    })
    client.start()
    this.clients.push(client)
  }
}

/** Measures lease renewals only, without changes. */
async function readSteadyState (clientsCount: number): Promise<number[]> {
  const fleet = await ControlFleet.start(1, clientsCount)
  await pause(SETTLE_MS)
  const control = fleet.hosts[0]!
  const before = await control.usage()
  const clientBefore = { processor: process.cpuUsage(), ...fleet.transport.counts, atMs: systemClock.nowMs() }
  await pause(WINDOW_MS)
  const elapsedMs = systemClock.nowMs() - clientBefore.atMs
  const clientUsed = process.cpuUsage(clientBefore.processor)
  const { sentBytes, receivedBytes } = fleet.transport.counts
  const after = await control.usage()
  await fleet.stop()
  const used = usagePerSecond(before, after, elapsedMs)
  const clientSeconds = clientsCount * elapsedMs / 1_000
  const clientBytes = sentBytes + receivedBytes - clientBefore.sentBytes - clientBefore.receivedBytes
  return [used.processorUs, used.frameBytes, after.liveBytes, (clientUsed.user + clientUsed.system) / clientSeconds, clientBytes / clientSeconds]
}

/** Measures sequential changes, each from its acceptance until it is in force on the last client. */
async function readChanges (clientsCount: number): Promise<number[]> {
  const fleet = await ControlFleet.start(1, clientsCount)
  await pause(SETTLE_MS)
  const control = fleet.hosts[0]!
  const idleFrom = await control.usage()
  await pause(SETTLE_MS)
  const before = await control.usage()
  const startMs = systemClock.nowMs()
  const spansMs: number[] = []
  for (let number = 1; number <= CHANGES; number++) {
    const revision = await fleet.change(number)
    const acceptedAtMs = systemClock.nowMs()
    while (!fleet.clients.every(client => client.configuration.revision >= revision)) await new Promise(resolve => setImmediate(resolve))
    spansMs.push(systemClock.nowMs() - acceptedAtMs)
  }
  const elapsedMs = systemClock.nowMs() - startMs
  const after = await control.usage()
  await fleet.stop()
  const idleUsPerMs = (before.processorUs - idleFrom.processorUs) / SETTLE_MS
  const idleBytesPerMs = (before.frameBytes - idleFrom.frameBytes) / SETTLE_MS
  const processorUs = after.processorUs - before.processorUs - idleUsPerMs * elapsedMs
  const bytes = after.frameBytes - before.frameBytes - idleBytesPerMs * elapsedMs
  return [processorUs / CHANGES, bytes / CHANGES, medianOf(spansMs), Math.max(...spansMs)]
}

export const controlSlopes: SlopeMeasurement[] = [
  {
    metrics: [
      { name: 'control.leaderSteadyUs', what: 'processor time a second of the leader for entry hosts that renew their leases, without changes', unit: 'us/s' },
      { name: 'control.leaderSteadyBytes', what: 'bytes a second that the leader sends and receives for the same', unit: 'bytes/s' },
      { name: 'control.leaderLiveBytes', what: 'live memory of the leader with the same', unit: 'bytes' },
      { name: 'control.clientSteadyUs', what: 'processor time a second of the control client of one entry host', unit: 'us/s' },
      { name: 'control.clientSteadyBytes', what: 'bytes a second of the control client of one entry host', unit: 'bytes/s' }
    ],
    sizeUnit: 'entry hosts',
    sizes: [50, 100, 200, 400],
    repeats: 2,
    read: readSteadyState
  },
  {
    metrics: [
      { name: 'control.changeLeaderUs', what: 'processor time of the leader for one accepted change that every entry host watches', unit: 'us' },
      { name: 'control.changeLeaderBytes', what: 'bytes that the leader sends and receives for the same', unit: 'bytes' },
      { name: 'control.changeInForceMs', what: 'from the answer to the operator until the change is in force on the last entry host, median of 20', unit: 'ms' },
      { name: 'control.changeInForceWorstMs', what: 'the same, worst of 20', unit: 'ms' }
    ],
    sizeUnit: 'entry hosts',
    sizes: [50, 100, 200, 400],
    repeats: 2,
    read: readChanges
  }
]
