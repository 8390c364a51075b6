/**
 * One item of a batch, from its turn to its place in the list of results: it
 * runs on an engine, goes on at another one behind the last event if that
 * breaks off, is scored, and is committed. One task, written straight down.
 */
import type { EndpointClient, ItemEvent, ItemOutcome } from '../endpoints/endpointClient.js'
import { FailureAccount } from '../endpoints/failureAccount.js'
import { RequestStanding, type QuarantinedRun, type RequestQuarantine } from '../quarantine/requestQuarantine.js'
import type { RequestIdentity } from '../quarantine/requestIdentity.js'
import type { RequestForwarder } from '../gateway/requestForwarder.js'
import { BatchCommandKind, ResultState, type BatchCommandResult, type BatchItem, type ItemResult } from '../protocol/batches.js'
import type { RoutingRoute } from '../protocol/routing.js'
import type { Replica } from '../replication/log/replica.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import { ScopeClosedError } from '../utils/errors.js'
import type { LogFields, Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import type { Batch } from './batch.js'
import { BatchEvent } from './batchEvents.js'
import type { BatchTimes } from './batchTimes.js'
import type { Engine } from './engineFleet.js'
import { ItemOutput } from './itemOutput.js'
import { OutputKeeper } from './outputKeeper.js'
import { noteOutcome, type RunOutcome } from './runOutcome.js'
import { SilenceWatch } from './silenceWatch.js'
import type { WaitingItem } from './itemOrder.js'
import { RewardScoring } from './rewardScoring.js'
import { ItemStage } from './stepReports.js'

/** A run looks for a faster engine after every so many events. */
const MOVE_CHECK_EVENTS_COUNT = 4
/** Why the scope of a run closes that goes on elsewhere. */
const MOVED = 'moved to a faster engine'
/** Pause after a run that failed at once, so that a broken engine is not asked in a loop; twice as long after each answered failure. */
const RETRY_PAUSE_MS = 30
const MAX_RETRY_PAUSE_MS = 1_000
/** An item that too few engines could try is given up after so many times the failures that its route allows. */
const MAX_FAILURES_FACTOR = 2
const COMMIT_TIMEOUT_MS = 2_000
/** An item that goes to no engine is looked at again after this, until it may be given up: it may be lifted. */
const HELD_BACK_PAUSE_MS = 500

export interface ItemRunParts {
  clock: Clock
  logger: Logger
  metrics: Metrics
  client: EndpointClient
  forwarder: RequestForwarder
  quarantine: RequestQuarantine
  replica: Replica
  /** Waits until an engine has room for the item; undefined when none has until the deadline. */
  acquire: (run: ItemRun, deadlineMs: number, scope: Scope) => Promise<Engine | undefined>
  release: (run: ItemRun, engine: Engine) => void
  /** Whether this host has more to do than its processor takes. */
  isHeldUp: () => boolean
  /** Whether a run had better go on at another engine, which has room. */
  shouldMove: (run: ItemRun, engine: Engine) => boolean
  /** Told once the output of a run is whole. */
  onWhole: (run: ItemRun) => void
  tokensPerEvent: (run: ItemRun) => number
  /** Another endpoint has an engine's address. */
  markGone: (endpointId: string) => void
  /** Engines of the item's service that take new work. */
  enginesCount: (run: ItemRun) => number
  /** The route of a request, in the routing configuration of the moment. */
  routeOf: (host: string, path: string) => RoutingRoute | undefined
}

export class ItemRun implements WaitingItem {
  readonly batch: Batch
  readonly item: BatchItem
  readonly output: ItemOutput
  readonly times: BatchTimes
  readonly isCarriedOver: boolean
  /** What it is at. */
  stage = ItemStage.Queued
  private readonly _parts: ItemRunParts
  /** Runs that engines answered as failed. */
  private readonly _failures: FailureAccount
  private readonly _keeper: OutputKeeper
  private readonly _identity: RequestIdentity
  private readonly _startedAtMs: number
  /** Engine and scope of the run that is under way. */
  private _current: { engine: Engine, scope: Scope } | undefined

  /** @param kept output that an earlier batch had of the item */
  constructor (parts: ItemRunParts, batch: Batch, item: BatchItem, times: BatchTimes, kept: ItemOutput | undefined, isCarriedOver: boolean) {
    this._parts = parts
    this._startedAtMs = parts.clock.nowMs()
    this._identity = parts.quarantine.identify({ host: batch.submission.host, method: 'POST', path: item.path, body: item.body })
    this.batch = batch
    this.item = item
    this._failures = new FailureAccount(() => item.itemId)
    this.times = times
    this.output = kept ?? new ItemOutput()
    this.isCarriedOver = isCarriedOver
    this._keeper = new OutputKeeper({
      clock: parts.clock,
      replica: parts.replica,
      batchId: batch.batchId,
      itemId: item.itemId,
      output: this.output,
      onNotKept: (afterEventId, outcome) => this._log(BatchEvent.ProgressNotKept, { afterEventId, outcome })
    })
  }

  get priority (): number {
    return this.batch.submission.priority ?? 0
  }

  get dueAtMs (): number {
    return this.times.dueAtMs
  }

  /** The engine that it runs on at the moment. */
  get engine (): Engine | undefined {
    return this._current?.engine
  }

  /** It may not run at every engine that fits the rest of its batch. */
  get isChoosy (): boolean {
    return this._failures.endpointsCount > 0 || this._standing() === RequestStanding.OnProbation
  }

  /** An engine that failed it is asked again only if no other fits. */
  avoids ({ id }: Engine): boolean {
    return this._failures.hasFailedAt(id)
  }

  /** Whether it may run beside what runs at an engine. */
  mayBegin ({ endpoint }: Engine): boolean {
    const standing = this._standing()
    return standing !== RequestStanding.Condemned && this._parts.quarantine.mayBegin(standing, endpoint)
  }

  /** Leaves its engine, to go on at another one. */
  move (): void {
    this._current?.scope.close(MOVED)
  }

  get isBegun (): boolean {
    return this.output.lastEventId > 0
  }

  /** Events are counted by their tokens once the dispatcher has said how many one holds. */
  get remainingTokensCount (): number {
    return Math.max(0, this.item.expectedTokensCount - this.output.lastEventId * this._parts.tokensPerEvent(this))
  }

  /** Returns once the item is listed. */
  async run (scope: Scope, completed: ItemResult | undefined): Promise<void> {
    if (completed) return await this._reuse(completed, scope)
    const isWhole = await this._untilWhole(scope)
    const result = isWhole ? await this._scored(scope) : this._givenUp()
    await this._commit(result, scope)
  }

  private async _reuse (completed: ItemResult, scope: Scope): Promise<void> {
    this._log(BatchEvent.ItemReused, { versions: completed.versions.map(String), isWhole: true })
    await this._commit(completed, scope)
  }

  /** False when the item is given up. */
  private async _untilWhole (scope: Scope): Promise<boolean> {
    const { clock } = this._parts
    if (this.isBegun) this._log(BatchEvent.ItemReused, { eventsCount: this.output.lastEventId, isWhole: false })
    for (;;) {
      // Without a wait it asks for a slot in this very turn, together with the rest of its batch.
      if (this._isCondemned() && !await this._untilLifted(scope)) return false
      this.stage = ItemStage.Queued
      const engine = await this._parts.acquire(this, this.times.giveUpAtMs, scope)
      if (!engine) return false
      // It may have waited long for the slot, and may not share the engine with another like it.
      if (!this.mayBegin(engine)) {
        this._parts.release(this, engine)
        await sleepUntil(clock, scope, clock.nowMs() + RETRY_PAUSE_MS)
        continue
      }
      this.stage = ItemStage.Running
      const outcome = await this._runOn(engine, scope)
      this._logRun(engine, outcome)
      if (outcome.kind === 'finished') {
        this._parts.onWhole(this)
        return true
      }
      if (outcome.kind === 'impossible') return false
      if (outcome.kind === 'moved') continue
      if (this._isHopeless()) return false
      this.stage = ItemStage.Pausing
      await sleepUntil(clock, scope, clock.nowMs() + this._retryPauseMs())
    }
  }

  private _retryPauseMs (): number {
    return Math.min(MAX_RETRY_PAUSE_MS, RETRY_PAUSE_MS * 2 ** Math.max(0, this._failures.failuresCount - 1))
  }

  /** Waits while engines end under the item; false when it is given up meanwhile. */
  private async _untilLifted (scope: Scope): Promise<boolean> {
    const { clock } = this._parts
    this.stage = ItemStage.HeldBack
    while (this._isCondemned()) {
      if (clock.nowMs() >= this.times.giveUpAtMs) return false
      await sleepUntil(clock, scope, clock.nowMs() + HELD_BACK_PAUSE_MS)
    }
    return true
  }

  private _isCondemned (): boolean {
    const { quarantine } = this._parts
    if (quarantine.standingOf(this._identity) !== RequestStanding.Condemned) return false
    quarantine.noteHeldBack(this._identity, { attemptId: this.item.itemId, route: this.batch.submission.path })
    return true
  }

  private _standing (): RequestStanding {
    return this._parts.quarantine.standingOf(this._identity)
  }

  private _logRun (engine: Engine, outcome: RunOutcome): void {
    this._parts.metrics.count(MetricName.ItemRunEnded, { outcome: outcome.kind })
    const fields = { endpointId: engine.id, eventsCount: this.output.lastEventId }
    if (outcome.kind === 'finished') return this._log(BatchEvent.ItemFinished, { ...fields, versions: this.output.versions.map(String) })
    if (outcome.kind === 'moved') return this._log(BatchEvent.ItemMoved, { ...fields, meanGapMs: Math.round(engine.pace.presentGapMs ?? 0) })
    this._log(BatchEvent.ItemBroken, { ...fields, outcome: outcome.kind, reason: reasonOf(outcome) })
  }

  private _isHopeless (): boolean {
    const route = this._parts.routeOf(this.batch.submission.host, this.batch.submission.path)
    return (route !== undefined && this._hasFailedOften(route.maxAttemptsCount)) || this._parts.clock.nowMs() >= this.times.giveUpAtMs
  }

  /** Failed as often as its route allows, by different engines as far as there are some. */
  private _hasFailedOften (maxAttemptsCount: number): boolean {
    const { failuresCount, endpointsCount } = this._failures
    if (failuresCount < maxAttemptsCount) return false
    const wantedCount = Math.min(maxAttemptsCount, this._parts.enginesCount(this))
    return endpointsCount >= wantedCount || failuresCount >= MAX_FAILURES_FACTOR * maxAttemptsCount
  }

  /** Runs at an engine, and gives its slot back. */
  private async _runOn (engine: Engine, scope: Scope): Promise<RunOutcome> {
    const beganAtMs = this._parts.clock.nowMs()
    try {
      const outcome = await this._attempt(engine, scope)
      // Before anything else gets the slot.
      noteOutcome(outcome, { engine, beganAtMs, failures: this._failures, markGone: this._parts.markGone })
      return outcome
    } finally {
      this._parts.release(this, engine)
    }
  }

  private async _attempt (engine: Engine, scope: Scope): Promise<RunOutcome> {
    const { clock, client, quarantine } = this._parts
    const quarantined = quarantine.begin(this._identity, engine.endpoint)
    const runScope = scope.child(`run on ${engine.id}`)
    const silenceWatch = new SilenceWatch(clock, engine.pace, runScope, this._parts.isHeldUp)
    let problem: string | undefined
    const onEvent = (event: ItemEvent): void => {
      silenceWatch.sawEvent()
      engine.health.worked()
      if (silenceWatch.eventsCount === 1) this._beganWell(engine)
      problem = this._take(event, engine)
      this._keeper.outputGrew(scope)
      if (problem !== undefined) runScope.close(problem)
      else if (silenceWatch.eventsCount % MOVE_CHECK_EVENTS_COUNT === 0 && this._parts.shouldMove(this, engine)) runScope.close(MOVED)
    }
    this._current = { engine, scope: runScope }
    this._log(BatchEvent.ItemStarted, { endpointId: engine.id, afterEventId: this.output.lastEventId, version: engine.version(this.item.model) })
    try {
      const outcome = await client.runItem(this._request(engine), runScope, onEvent)
      this._settle(quarantined, outcome)
      return outcome
    } catch (error) {
      quarantine.left(quarantined)
      if (!(error instanceof ScopeClosedError) || scope.isClosed) throw error
      if (runScope.closeReason === MOVED) return { kind: 'moved' }
      const reason = runScope.closeReason ?? ''
      if (problem !== undefined) return { kind: 'unusable', reason }
      return { kind: silenceWatch.eventsCount > 0 ? 'broken' : 'notBegun', reason }
    } finally {
      this._current = undefined
      runScope.close('run over')
    }
  }

  private _beganWell (engine: Engine): void {
    engine.health.accepted()
    this._failures.settled(engine.id)
  }

  private _settle (run: QuarantinedRun, outcome: ItemOutcome): void {
    const { quarantine } = this._parts
    switch (outcome.kind) {
      case 'finished':
      case 'impossible':
        return quarantine.answered(run)
      case 'failed':
        return quarantine.answeredWithError(run)
      default:
        return quarantine.failed(run, outcome)
    }
  }

  private _request (engine: Engine) {
    const { path, headers, body, itemId } = this.item
    return {
      endpoint: engine.endpoint,
      path,
      host: this.batch.submission.host,
      headers,
      body,
      attemptId: itemId,
      account: this.batch.submission.account,
      deadlineMs: this.times.giveUpAtMs,
      afterEventId: this.isBegun ? this.output.lastEventId : undefined
    }
  }

  /** Keeps an event; the reason to end the run if it must not be kept. */
  private _take (event: ItemEvent, engine: Engine): string | undefined {
    const { minVersion, host, path } = this.batch.submission
    if (event.version < minVersion) {
      engine.setVersion(this.item.model, event.version)
      return `version ${event.version} is older than ${minVersion}`
    }
    engine.learnVersion(this.item.model, event.version)
    const isSingle = this._parts.routeOf(host, path)?.batch?.isSingleVersion === true
    if (isSingle && this.isBegun && !this.output.versions.includes(event.version)) {
      this.output.clear()
      return 'the version changed in the middle'
    }
    this.output.add(event)
    return undefined
  }

  /** Puts what the replicated state lacks of the output into it. */
  async keepOutput (progress: Progress): Promise<void> {
    await this._keeper.keepAll(progress)
  }

  private _givenUp (): ItemResult {
    this._log(BatchEvent.ItemGivenUp, { failuresCount: this._failures.failuresCount, enginesCount: this._failures.endpointsCount })
    return { itemId: this.item.itemId, state: ResultState.GivenUp, parts: [], versions: [] }
  }

  /** The result with its score, once there is one. */
  private async _scored (scope: Scope): Promise<ItemResult> {
    const { reward, itemId } = this.item
    const whole = { itemId, parts: [], versions: this.output.versions, state: ResultState.Completed }
    if (!reward) return whole
    this.stage = ItemStage.Scoring
    const { clock, metrics, forwarder, routeOf } = this._parts
    const onCalled = (fields: LogFields): void => this._log(BatchEvent.ItemScored, fields)
    const score = await new RewardScoring({ clock, metrics, forwarder, routeOf, onCalled }).score(reward, this.times.giveUpAtMs, scope)
    return score.kind === 'scored' ? { ...whole, score: score.receipt } : this._givenUp()
  }

  /** Lists the result; its text is what the replicated state keeps and what is only here. */
  private async _commit (result: ItemResult, scope: Scope): Promise<void> {
    const { clock, replica } = this._parts
    const { batchId } = this.batch
    this.stage = ItemStage.Committing
    while (!this.batch.isListed(this.item.itemId)) {
      await this._keeper.settled(scope)
      const command = { kind: BatchCommandKind.Finish, batchId, ...this._finishing(result) }
      const outcome = await replica.propose(command, new Progress(clock, scope, clock.nowMs() + COMMIT_TIMEOUT_MS))
      const answer = outcome.kind === 'committed' ? (outcome.result as BatchCommandResult).kind : outcome.kind
      this._log(BatchEvent.ItemListed, { groupId: this.item.groupId, state: result.state, outcome: answer })
      if (answer === 'listed') this._measure(result.state)
      if (answer === 'listed' || answer === 'closed') return
      this.output.distrustKept()
      await sleepUntil(clock, scope, clock.nowMs() + RETRY_PAUSE_MS)
    }
  }

  private _finishing (result: ItemResult): { afterEventId: number, result: ItemResult } {
    const isOwnOutput = result.state === ResultState.Completed && result.parts.length === 0
    if (!isOwnOutput) return { afterEventId: 0, result }
    return { afterEventId: this.output.keptCount, result: { ...result, parts: this.output.freshParts() } }
  }

  private _measure (state: ResultState): void {
    const { clock, metrics } = this._parts
    metrics.count(MetricName.ItemListed, { state })
    metrics.timing(MetricName.ItemDurationMs, clock.nowMs() - this._startedAtMs, { state })
  }

  private _log (event: BatchEvent, fields: LogFields): void {
    this._parts.logger.event(event, { batchId: this.batch.batchId, itemId: this.item.itemId, ...fields })
  }
}

function reasonOf (outcome: RunOutcome): string {
  if ('reason' in outcome) return outcome.reason
  return 'status' in outcome ? `status ${outcome.status}` : ''
}
