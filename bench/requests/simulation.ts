/**
 * One simulated run: several entry hosts under an open-loop load, each with its
 * own scheduler and its own delayed view of the engines.
 */
import { createScheduler } from '../../src/entry/scheduling/priorityScheduler.js'
import type { Assignment, Scheduler } from '../../src/entry/scheduling/scheduler.js'
import { RetryReason } from '../../src/protocol/refusals.js'
import { EndpointKind, ResourceKind } from '../../src/protocol/resources.js'
import { announcementSchema } from '../../src/protocol/endpoints.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Progress } from '../../src/utils/progress.js'
import { seededRandom, type RandomSource } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { MemoryConfiguration, MemoryDirectory } from '../../tests/fixtures/schedulingFixture.js'
import { VirtualClock } from '../../tests/fixtures/virtualClock.js'
import { Baseline, createBaseline } from './baselines.js'
import { Recorder, type RunFigures } from './recorder.js'
import { StandInEngine, defaultEngineSpec, type EngineResult } from './standInEngine.js'
import { Workload, classLoads, type ClassLoad, type SimulatedRequest } from './workload.js'

export const POLICY = 'policy'
export type Contender = Baseline | typeof POLICY

export interface SimulationOptions {
  contender: Contender
  seed: number
  hostsCount: number
  enginesCount: number
  /** Offered tokens a second at a point in time. */
  offeredAt (nowMs: number): number
  /** Schedules the faults. */
  arrange? (engines: StandInEngine[], clock: VirtualClock): void
  /** Index of the host that receives a request of a class; uniformly random when unset. */
  hostFor? (load: ClassLoad, random: RandomSource): number
  warmUpMs: number
  measuredMs: number
}

interface Host {
  directory: MemoryDirectory
  scheduler: Scheduler
}

const POOL = 'engines'
const REPORT_INTERVAL_MS = 500
const MIN_REPORT_LAG_MS = 50
const MAX_REPORT_LAG_MS = 400
const NETWORK_MS = 1
const LEASE_MS = 5_000

class Simulation {
  private readonly _options: SimulationOptions
  private readonly _clock = new VirtualClock()
  private readonly _scope = new Scope('run')
  private readonly _random: RandomSource
  private readonly _workload: Workload
  private readonly _engines: StandInEngine[]
  private readonly _hosts: Host[]
  private readonly _recorder: Recorder
  private readonly _lastReportMs: number[]
  private _sequence = 0

  constructor (options: SimulationOptions) {
    this._options = options
    this._random = seededRandom(options.seed)
    this._workload = new Workload(seededRandom(options.seed + 1))
    this._engines = Array.from({ length: options.enginesCount }, () => new StandInEngine(this._clock))
    this._lastReportMs = this._engines.map(() => 0)
    this._hosts = Array.from({ length: options.hostsCount }, (_, index) => this._createHost(index))
    this._recorder = new Recorder(options.warmUpMs, options.warmUpMs + options.measuredMs, classLoads)
  }

  async run (): Promise<RunFigures> {
    const { warmUpMs, measuredMs, arrange } = this._options
    this._engines.forEach((_, index) => this._reportRegularly(index))
    await this._clock.advance(0)
    for (const load of classLoads) this._scheduleArrival(load)
    arrange?.(this._engines, this._clock)
    await this._clock.advance(warmUpMs + measuredMs)
    this._scope.close('run over')
    const cachedCount = this._engines.reduce((total, engine) => total + engine.cachedTokensCount, 0)
    const promptCount = this._engines.reduce((total, engine) => total + engine.promptTokensCount, 0)
    const peakHeldCount = Math.max(...this._engines.map(engine => engine.peakCount))
    return this._recorder.figures(100 * cachedCount / Math.max(1, promptCount), peakHeldCount)
  }

  private _createHost (index: number): Host {
    const directory = new MemoryDirectory(this._clock)
    const random = seededRandom(this._options.seed + 100 + index)
    const { contender } = this._options
    if (contender !== POLICY) return { directory, scheduler: createBaseline(contender, directory, random) }
    const configuration = this._configuration()
    const scheduler = createScheduler({ clock: this._clock, random, directory, configuration, metrics: memoryMetrics(), scope: this._scope })
    return { directory, scheduler }
  }

  private _configuration (): MemoryConfiguration {
    const configuration = new MemoryConfiguration()
    configuration.put(ResourceKind.EndpointPool, POOL, { endpointKind: EndpointKind.Engine })
    for (const { name, paidWeight, minSharePercent } of classLoads) {
      configuration.put(ResourceKind.PriorityClass, name, { paidWeight, minSharePercent })
    }
    configuration.setHostsCount(this._options.hostsCount)
    return configuration
  }

  /** Each engine reports periodically; every host receives the report after its own random lag. */
  private _reportRegularly (index: number): void {
    const offsetMs = this._random.int(0, REPORT_INTERVAL_MS)
    const report = (): void => {
      this._report(index)
      this._clock.callAt(this._clock.nowMs() + REPORT_INTERVAL_MS, report)
    }
    this._report(index, 0)
    this._clock.callAt(offsetMs, report)
  }

  private _report (index: number, lagMs?: number): void {
    const engine = this._engines[index]
    if (!engine?.isUp) return
    const load = engine.report()
    const reportedAtMs = this._clock.nowMs()
    const sequence = ++this._sequence
    this._lastReportMs[index] = reportedAtMs
    for (const { directory } of this._hosts) {
      const ownLagMs = lagMs ?? this._random.int(MIN_REPORT_LAG_MS, MAX_REPORT_LAG_MS)
      this._clock.callAt(reportedAtMs + ownLagMs, () => {
        const known = directory.get(endpointName(index))?.announcement
        if (known && known.sequence > sequence) return
        directory.announce(this._announcement(index, { ...load, ageMs: this._clock.nowMs() - reportedAtMs }, sequence))
      })
    }
    this._clock.callAt(reportedAtMs + LEASE_MS, () => this._expire(index))
  }

  private _announcement (index: number, load: ReturnType<StandInEngine['report']>, sequence: number): ReturnType<typeof announcementSchema.parse> {
    const engine = this._engines[index]
    return {
      endpointId: endpointName(index),
      pool: POOL,
      endpointKind: EndpointKind.Engine,
      url: 'http://127.0.30.1:8000',
      incarnation: engine?.incarnation ?? 1,
      sequence,
      dataCentre: 'a',
      weightVersion: 1,
      adapters: [],
      role: 'mixed' as never,
      load,
      maxConcurrentCount: engine?.spec.maxConcurrentCount ?? 1,
      leaving: false
    }
  }

  private _expire (index: number): void {
    if (this._clock.nowMs() - (this._lastReportMs[index] ?? 0) < LEASE_MS) return
    for (const { directory } of this._hosts) directory.remove(endpointName(index))
  }

  private _scheduleArrival (load: ClassLoad): void {
    const gapMs = this._workload.gapMs(load, this._options.offeredAt(this._clock.nowMs()))
    this._clock.callAt(this._clock.nowMs() + gapMs, () => {
      const hostIndex = this._options.hostFor?.(load, this._random) ?? this._random.int(0, this._hosts.length - 1)
      const host = this._hosts[hostIndex]
      for (const request of this._workload.next(load)) if (host) this._serve(host, request).catch(ignoreRejection)
      this._scheduleArrival(load)
    })
  }

  private async _serve (host: Host, request: SimulatedRequest): Promise<void> {
    const startedAtMs = this._clock.nowMs()
    const { name, deadlineMs } = request.load
    this._recorder.offered(name, startedAtMs, request.job.outputTokensCount)
    const scope = this._scope.child('request')
    const progress = new Progress(this._clock, scope, startedAtMs + deadlineMs)
    const excludedEndpointIds: string[] = []
    for (;;) {
      const outcome = await host.scheduler.assign(this._item(request, excludedEndpointIds), progress)
      if (outcome.kind === 'refused') return this._recorder.refused(name, this._clock.nowMs(), outcome.reason)
      const result = await this._attempt(outcome.assignment, request, progress)
      if (result.kind === 'complete') {
        return this._recorder.complete(name, startedAtMs, this._clock.nowMs(), result.tokensCount, !progress.isPastDeadline())
      }
      this._recorder.wasted(this._clock.nowMs(), result.tokensCount)
      if (result.kind === 'cancelled') return this._recorder.late(name, this._clock.nowMs(), 0)
      const reason = result.tokensCount > 0 ? RetryReason.ConnectionLost : RetryReason.ConnectFailed
      if (!host.scheduler.takeRetry(POOL, reason)) return this._recorder.refused(name, this._clock.nowMs(), 'retry_budget_spent')
      this._recorder.retried(this._clock.nowMs(), reason)
      excludedEndpointIds.push(outcome.assignment.endpoint.announcement.endpointId)
    }
  }

  /** One attempt, which is cancelled at the engine when the deadline passes. */
  private async _attempt (assignment: Assignment, request: SimulatedRequest, progress: Progress): Promise<EngineResult> {
    const startedAtMs = this._clock.nowMs()
    const index = Number(assignment.endpoint.announcement.endpointId.split('-')[1])
    const attemptScope = progress.scope.child('try')
    const cancelTimer = this._clock.callAt(progress.deadlineMs, () => attemptScope.close('deadline'))
    await this._networkDelay()
    const result = await this._engines[index]!.run(request.job, attemptScope)
    await this._networkDelay()
    cancelTimer()
    const durationMs = this._clock.nowMs() - startedAtMs
    const firstTokenMs = (result.firstTokenAtMs ?? startedAtMs) - startedAtMs
    if (result.kind === 'complete') assignment.finish({ kind: 'succeeded', tokensCount: result.tokensCount, durationMs, firstTokenMs })
    else assignment.finish({ kind: result.kind })
    return result
  }

  private _networkDelay (): Promise<void> {
    return new Promise(resolve => this._clock.callAt(this._clock.nowMs() + NETWORK_MS, resolve))
  }

  private _item (request: SimulatedRequest, excludedEndpointIds: string[]): Parameters<Scheduler['assign']>[0] {
    return {
      pool: POOL,
      callerName: request.load.name,
      priorityClass: request.load.name,
      affinityText: request.affinityText,
      bodyBytes: request.affinityText.length,
      groupKey: request.groupKey,
      expectedTokensCount: request.expectedTokensCount,
      excludedEndpointIds
    }
  }
}

function endpointName (index: number): string {
  return `engine-${index}`
}

/** Requests in flight at the end of the run reject when its scope closes. */
function ignoreRejection (): void {}

export async function simulate (options: SimulationOptions): Promise<RunFigures> {
  return await new Simulation(options).run()
}

/**
 * Tokens a second of all engines when every slot is always in use and each shared
 * prefix is only ever served by one engine.
 */
export async function measureCapacity (enginesCount: number, seed: number, measuredMs: number): Promise<number> {
  const clock = new VirtualClock()
  const scope = new Scope('capacity')
  const workload = new Workload(seededRandom(seed))
  const engines = Array.from({ length: enginesCount }, () => new StandInEngine(clock))
  let tokensCount = 0
  const warmUpMs = measuredMs / 2
  const keepBusy = async (engine: StandInEngine, queue: SimulatedRequest[]): Promise<void> => {
    for (;;) {
      const request = queue.shift() ?? refill(workload, engines.indexOf(engine), enginesCount, queue)
      const { tokensCount: generatedCount } = await engine.run(request.job, scope)
      if (scope.isClosed) return
      if (clock.nowMs() >= warmUpMs) tokensCount += generatedCount
    }
  }
  const loops = engines.flatMap(engine => {
    const queue: SimulatedRequest[] = []
    return Array.from({ length: defaultEngineSpec.maxConcurrentCount }, () => keepBusy(engine, queue))
  })
  await clock.advance(warmUpMs + measuredMs)
  scope.close('measured')
  await Promise.all(loops)
  return tokensCount / measuredMs * 1000
}

/** Draws until a request's shared prefix belongs to the engine; queues the rest of its group, if any. */
function refill (workload: Workload, engineIndex: number, enginesCount: number, queue: SimulatedRequest[]): SimulatedRequest {
  for (;;) {
    const requests = workload.next(workload.randomClass())
    const prefixIndex = Number(requests[0]?.job.prefix[0]?.key.split('-')[1])
    if (prefixIndex % enginesCount !== engineIndex) continue
    queue.push(...requests.slice(1))
    return requests[0]!
  }
}
