/**
 * Executes runs of items and reward calls on this host: reads the stream of the
 * engine, checks the version of each event, and detects stalls.
 */
import { LRUCache } from 'lru-cache'
import type { EndpointClient, ItemEvent } from '../endpoints/endpointClient.js'
import type { RequestForwarder } from '../gateway/requestForwarder.js'
import type { RewardCall } from '../protocol/batches.js'
import type { RoutingRoute } from '../protocol/routing.js'
import type { ItemRunRequest, RewardScore, RunOutcome } from '../protocol/runnerTasks.js'
import type { Clock } from '../utils/clock.js'
import { ScopeClosedError } from '../utils/errors.js'
import type { Metrics } from '../utils/metrics.js'
import type { Scope } from '../utils/scope.js'
import { EnginePace } from '../batchScheduling/enginePace.js'
import { FirstEventTimes } from './firstEventTimes.js'
import type { ItemExecutor, ProgressListener, StartedRun } from './itemExecutor.js'
import { OutputBuffer } from './outputBuffer.js'
import { RewardScoring } from './rewardScoring.js'
import { StallDetector } from './stallDetector.js'

/** Engines whose pace is remembered. */
const MAX_PACES_COUNT = 1_024
/** Services whose times to the first event are remembered. */
const MAX_SERVICES_COUNT = 256

export interface LocalExecutorOptions {
  clock: Clock
  metrics: Metrics
  client: EndpointClient
  forwarder: RequestForwarder
  /** The route of a request in the current routing configuration. */
  routeOf: (host: string, path: string) => RoutingRoute | undefined
  /** Whether the processor of this host is overloaded, so that events are read late. */
  isOverloaded: () => boolean
}

export class LocalExecutor implements ItemExecutor {
  private readonly _options: LocalExecutorOptions
  private readonly _paces = new LRUCache<string, EnginePace>({ max: MAX_PACES_COUNT })
  private readonly _firstEventTimes = new LRUCache<string, FirstEventTimes>({ max: MAX_SERVICES_COUNT })
  private readonly _runs = new Set<EngineRun>()

  constructor (options: LocalExecutorOptions) {
    this._options = options
  }

  run (request: ItemRunRequest, abandonAtMs: number, scope: Scope, onProgress: ProgressListener): StartedRun {
    const { clock } = this._options
    const run = this.hold(request, abandonAtMs, scope, received => {
      const progress = received.take()
      if (progress) onProgress(progress, clock.leaseNowMs() - (progress.lastEventAtMs ?? clock.leaseNowMs()))
    })
    this._runs.add(run)
    const remove = (): void => { this._runs.delete(run) }
    run.outcome.then(remove, remove)
    return run
  }

  /** Starts a run whose events stay in `received` until the caller takes them; `onReceived` is called after each event. */
  hold (request: ItemRunRequest, abandonAtMs: number, scope: Scope, onReceived: (received: OutputBuffer) => void): EngineRun {
    const { endpointId, service } = request.endpoint
    const times = { pace: this._paceOf(endpointId), firstEventTimes: this._firstEventTimesOf(service) }
    return new EngineRun(this._options, request, abandonAtMs, times, scope, onReceived)
  }

  async score (reward: RewardCall, _abandonAtMs: number, scope: Scope, holdsLease = () => true): Promise<RewardScore> {
    const { clock, metrics, forwarder, routeOf } = this._options
    return await new RewardScoring({ clock, metrics, forwarder, routeOf }).score(reward, scope, holdsLease)
  }

  async flush (): Promise<void> {
    for (const run of this._runs) run.passOnAll()
  }

  private _firstEventTimesOf (service: string): FirstEventTimes {
    let times = this._firstEventTimes.get(service)
    if (!times) {
      times = new FirstEventTimes()
      this._firstEventTimes.set(service, times)
    }
    return times
  }

  private _paceOf (endpointId: string): EnginePace {
    let pace = this._paces.get(endpointId)
    if (!pace) {
      pace = new EnginePace(this._options.clock)
      this._paces.set(endpointId, pace)
    }
    return pace
  }
}

/** What earlier runs have shown. */
interface EngineTimes {
  /** Of the engine. */
  pace: EnginePace
  /** Of all engines of its service. */
  firstEventTimes: FirstEventTimes
}

/** One run of an item at an engine. */
export class EngineRun implements StartedRun {
  readonly outcome: Promise<RunOutcome>
  readonly received: OutputBuffer
  private readonly _options: LocalExecutorOptions
  private readonly _request: ItemRunRequest
  private readonly _scope: Scope
  private readonly _onEvent: (received: OutputBuffer) => void
  private _onlyVersion: number | undefined
  private readonly _stallDetector: StallDetector
  /** Set when this host ends the run; the engine's own outcome is ignored then. */
  private _ending: RunOutcome | undefined

  constructor (options: LocalExecutorOptions, request: ItemRunRequest, abandonAtMs: number, { pace, firstEventTimes }: EngineTimes, scope: Scope, onEvent: (received: OutputBuffer) => void) {
    this._options = options
    this._request = request
    this._onlyVersion = request.onlyVersion
    this._onEvent = onEvent
    this.received = new OutputBuffer(request.afterEventId)
    this._scope = scope.child(`run on ${request.endpoint.endpointId}`)
    this._stallDetector = new StallDetector(options.clock, pace, firstEventTimes, this._scope, options.isOverloaded)
    this.outcome = this._run(abandonAtMs, scope)
  }

  stop (): void {
    this._end({ kind: 'moved' })
  }

  giveUp (): void {
    this.stop()
  }

  private async _run (abandonAtMs: number, parent: Scope): Promise<RunOutcome> {
    // Also when the scope closes, so that an output that is continued later has all events.
    const removeCloseListener = parent.onClose(() => this.passOnAll())
    try {
      return await this._options.client.runItem(this._engineRequest(abandonAtMs), this._scope, event => this._add(event))
    } catch (error) {
      if (!(error instanceof ScopeClosedError) || parent.isClosed) throw error
      return this._ending ?? this._stalledOutcome()
    } finally {
      removeCloseListener()
      this.passOnAll()
      this._scope.close('run over')
    }
  }

  private _engineRequest (abandonAtMs: number) {
    const { endpoint, path, host, headers, body, itemId, account, afterEventId } = this._request
    return { endpoint, path, host, headers, body, account, attemptId: itemId, deadlineMs: abandonAtMs, afterEventId: afterEventId > 0 ? afterEventId : undefined }
  }

  private _stalledOutcome (): RunOutcome {
    const reason = this._scope.closeReason ?? ''
    return { kind: this._stallDetector.eventsCount > 0 ? 'broken' : 'notBegun', reason }
  }

  private _add (event: ItemEvent): void {
    if (this._scope.isClosed) return
    const gapMs = this._stallDetector.recordEvent()
    const unusable = this._checkVersion(event.version)
    if (unusable) return this._end(unusable)
    this.received.add(event, this._options.clock.leaseNowMs(), gapMs)
    this._onEvent(this.received)
  }

  /** The outcome with which an event of this version ends the run; undefined if the event is of use. */
  private _checkVersion (version: number): RunOutcome | undefined {
    const { minVersion, isSingleVersion } = this._request
    if (version < minVersion) return { kind: 'staleVersion', version, reason: `engine sent an event of version ${version}, older than the required version ${minVersion}` }
    const isMixed = isSingleVersion && this._onlyVersion !== undefined && version !== this._onlyVersion
    if (isMixed) return { kind: 'mixedVersions', reason: `version changed to ${version} during a sample that allows a single version` }
    this._onlyVersion = version
    return undefined
  }

  private _end (outcome: RunOutcome): void {
    this._ending ??= outcome
    this._scope.close(outcome.kind)
  }

  /** Passes on all events received so far, also those that are fewer than a part. */
  passOnAll (): void {
    this.received.completePart()
    this._onEvent(this.received)
  }
}
