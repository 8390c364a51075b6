/**
 * One run of the fleet's soak: brings the programs up, lets callers, a trainer,
 * an operator and endpoints work, carries out the planned faults, waits until
 * everything has settled, and reads back all that was accepted.
 */
import { waitFor } from '../../demo/waitFor.js'
import { seededRandom, type RandomSource } from '../../src/utils/randomSource.js'
import { FaultKind, HostGroup, isOfHost, planFaults, QUIET_AFTER_MS, type HostCounts, type PlannedFault } from './faultPlan.js'
import { SoakCallers } from './soakCallers.js'
import { findViolations } from './soakChecks.js'
import { pause, SoakEndpoint, SoakService } from './soakEndpoint.js'
import { SoakFleet, type SoakHost } from './soakFleet.js'
import { emptyRecord, type Disturbance, type SoakRecord } from './soakRecord.js'

export interface SoakOptions {
  seed: number
  durationMs: number
  hosts: HostCounts
  only?: readonly FaultKind[]
  keepsLogs?: boolean
}

export interface SoakOutcome {
  seed: number
  planned: PlannedFault[]
  record: SoakRecord
  violations: string[]
  /** Where the programs' logs are; undefined when they were not kept. */
  logsFolder: string | undefined
}

const SERVICES_COUNT = 3
const ENGINES_COUNT = 3
/** Endpoints that come in the place of others, each at a port of its own; beyond that none is replaced. */
const MAX_REPLACEMENTS_COUNT = 40
const FIRST_ENDPOINT_PORT = 8_100
/** A host that comes back needs so long until its connections are made and its log is caught up. */
const START_MS = 2_500
/** An endpoint that ended under a request is back, under a new name at its address, after this. */
const REBORN_AFTER_MS = 1_500
/** Programs hear of a cut within 40 ms. */
const LEAVE_AFTER_CUT_MS = 200

export async function runSoak (options: SoakOptions): Promise<SoakOutcome> {
  const fleet = await SoakFleet.create(options.hosts, 1)
  const run = new SoakRun(options, fleet)
  try {
    const record = await run.play()
    return { seed: options.seed, planned: run.planned, record, violations: findViolations(record), logsFolder: options.keepsLogs === true ? fleet.folder : undefined }
  } finally {
    await fleet.close(options.keepsLogs === true)
  }
}

class SoakRun {
  readonly planned: PlannedFault[]
  private readonly _options: SoakOptions
  private readonly _fleet: SoakFleet
  private readonly _record = emptyRecord()
  private readonly _random: RandomSource
  private readonly _startedAtMs = performance.now()
  private readonly _endpoints: SoakEndpoint[] = []
  private readonly _callers: SoakCallers
  private readonly _endpointIp: string
  private _endpointsCount = 0
  private _deadlyCallersCount = 0
  private readonly _underWay: Array<Promise<void>> = []

  constructor (options: SoakOptions, fleet: SoakFleet) {
    this._options = options
    this._fleet = fleet
    this._random = seededRandom(options.seed)
    this.planned = planFaults(options)
    this._endpointIp = fleet.takeIp()
    this._callers = new SoakCallers({
      random: seededRandom(options.seed + 1),
      record: this._record,
      nowMs: () => this._nowMs(),
      callerAddresses: () => fleet.callerAddresses,
      controlAddresses: () => fleet.controlAddresses
    })
  }

  async play (): Promise<SoakRecord> {
    await this._bringUp()
    const beganAtMs = this._nowMs()
    const working = this._callers.run()
    for (const fault of this.planned) {
      await pause(beganAtMs + fault.atMs - this._nowMs())
      this._underWay.push(this._carryOut(fault))
    }
    for (const task of this._underWay) await task
    await pause(Math.max(QUIET_AFTER_MS, beganAtMs + this._options.durationMs - this._nowMs()))
    this._callers.finish()
    await working
    await this._callers.readAll()
    for (const endpoint of this._endpoints) if (!endpoint.isOver) endpoint.crash()
    this._record.ownEnds.push(...this._fleet.ownEnds)
    return this._record
  }

  private async _bringUp (): Promise<void> {
    this._fleet.startAll()
    for (let number = 0; number < SERVICES_COUNT; number++) await this._addEndpoint(SoakService.Decks)
    for (let number = 0; number < ENGINES_COUNT; number++) await this._addEndpoint(SoakService.Engines)
    await waitFor('a configuration', async () => {
      await Promise.race([this._callers.configure(), pause(START_MS)])
      return this._record.configurations.length > 0
    })
    await pause(START_MS)
  }

  private async _addEndpoint (service: SoakService): Promise<void> {
    const number = this._endpointsCount++
    if (number >= SERVICES_COUNT + ENGINES_COUNT + MAX_REPLACEMENTS_COUNT) return
    await this._startEndpoint(service, number, FIRST_ENDPOINT_PORT + number)
  }

  private async _startEndpoint (service: SoakService, number: number, port: number): Promise<void> {
    const endpoint = new SoakEndpoint({
      name: `i-${service}-${number}`,
      service,
      ip: this._endpointIp,
      port,
      dataCentre: 'north',
      record: this._record,
      nowMs: () => this._nowMs(),
      controlAddresses: () => this._fleet.controlAddresses,
      onDeadly: (ended, callerId) => this._endUnder(ended, callerId)
    }, this._random.int(0, this._options.hosts.control - 1))
    await endpoint.start()
    this._endpoints.push(endpoint)
  }

  /** It ends at once, and is back after a while under a new name at its address. */
  private _endUnder (endpoint: SoakEndpoint, callerId: string): void {
    const { name, service, port } = endpoint.parts
    this._record.ends.push({ callerId, endpointName: name, atMs: this._nowMs() })
    endpoint.crash()
    this._underWay.push((async () => {
      await pause(REBORN_AFTER_MS)
      await this._startEndpoint(service, this._endpointsCount++, port)
    })())
  }

  private async _carryOut (fault: PlannedFault): Promise<void> {
    const fromMs = this._nowMs()
    if (!isOfHost(fault.kind)) return await this._workOnEndpoints(fault)
    const isOfAll = fault.kind === FaultKind.PowerLoss
    const hosts = isOfAll ? this._fleet.hosts : this._fleet.of(fault.group).slice(fault.number, fault.number + 1)
    const disturbance: Disturbance = {
      kind: fault.kind,
      target: isOfAll ? 'all hosts' : hosts.map(({ name }) => name).join(),
      targetIps: hosts.map(({ ip }) => ip),
      hitsControl: hosts.some(({ group }) => group === HostGroup.Control),
      fromMs,
      untilMs: Number.POSITIVE_INFINITY
    }
    this._record.disturbances.push(disturbance)
    await (isOfAll ? this._losePower(fault.forMs) : Promise.all(hosts.map(async host => await this._disturb(host, fault))))
    disturbance.untilMs = this._nowMs()
  }

  private async _disturb (host: SoakHost, { kind, forMs }: PlannedFault): Promise<void> {
    const fleet = this._fleet
    switch (kind) {
      case FaultKind.Kill:
        return await this._restart(host, () => fleet.kill(host), forMs)
      case FaultKind.Stop:
        return await this._restart(host, () => fleet.stop(host), forMs)
      case FaultKind.Wipe:
        return await this._restart(host, async () => {
          await fleet.kill(host)
          fleet.wipe(host)
        }, forMs)
      case FaultKind.Freeze:
        return await this._whileIn(() => fleet.freeze(host), forMs, () => fleet.thaw(host))
      case FaultKind.Suspend:
        return await this._whileIn(() => fleet.freeze(host), forMs, () => fleet.resume(host))
      case FaultKind.Cut:
        return await this._whileIn(() => fleet.cutOff(host), forMs, () => fleet.heal(host))
      case FaultKind.CutOneWay:
        return await this._whileIn(() => fleet.cutOffOneWay(host), forMs, () => fleet.heal(host))
      case FaultKind.LeaveAtCutHost:
        return await this._whileIn(() => this._leaveAtCut(host), forMs, () => fleet.heal(host))
      case FaultKind.Reset:
        return fleet.reset(host)
      default:
        return fleet.silence(host)
    }
  }

  private async _whileIn (begin: () => void, forMs: number, end: () => void): Promise<void> {
    begin()
    await pause(forMs)
    end()
  }

  private async _restart (host: SoakHost, end: () => Promise<void>, forMs: number): Promise<void> {
    await end()
    await pause(forMs)
    this._fleet.start(host)
    await pause(START_MS)
  }

  private async _losePower (forMs: number): Promise<void> {
    await Promise.all(this._fleet.hosts.map(async host => await this._fleet.kill(host)))
    await pause(forMs)
    this._fleet.startAll()
    await pause(START_MS)
  }

  private async _workOnEndpoints (fault: PlannedFault): Promise<void> {
    if (fault.kind === FaultKind.Configure) return await this._callers.configure()
    if (fault.kind === FaultKind.DeadlyCaller) return await this._callers.repeatDeadly(`deadly-${++this._deadlyCallersCount}`, fault.forMs)
    const candidates = this._candidates()
    const endpoint = candidates[fault.number % Math.max(1, candidates.length)]
    if (!endpoint) return
    // The one that takes its place starts first, so that there is always one of its service.
    await this._addEndpoint(endpoint.parts.service)
    if (fault.kind === FaultKind.EndpointCrashes) endpoint.crash()
    else if (fault.kind === FaultKind.EndpointDrains) await endpoint.drain()
    else await endpoint.leave()
  }

  private _leaveAtCut (host: SoakHost): void {
    const address = this._fleet.controlAddresses[this._fleet.of(HostGroup.Control).indexOf(host)]
    const endpoint = this._candidates().find(({ homeAddress }) => homeAddress === address)
    this._fleet.cutOff(host)
    if (!endpoint) return
    this._underWay.push((async () => {
      await this._addEndpoint(endpoint.parts.service)
      await pause(LEAVE_AFTER_CUT_MS)
      await endpoint.leave()
    })())
  }

  private _candidates (): SoakEndpoint[] {
    return this._endpoints.filter(({ isOver, parts }) => !isOver && !this._record.leaves.some(({ endpointName }) => endpointName === parts.name))
  }

  private _nowMs (): number {
    return performance.now() - this._startedAtMs
  }
}

/** Three control hosts that take requests too, entry hosts and store hosts. */
export function hostCounts (entryHostsCount: number, storeHostsCount: number): HostCounts {
  return { [HostGroup.Control]: 3, [HostGroup.Entry]: entryHostsCount, [HostGroup.Store]: storeHostsCount }
}
