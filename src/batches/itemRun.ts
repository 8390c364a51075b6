/**
 * One item of a batch, from waiting for a slot to its position in the list of results.
 * The item runs on an engine, resumes after the last event on another engine if the
 * run breaks off, is scored and is committed, all in one sequential task.
 */
import type { QuarantinedRun, RequestQuarantine } from '../quarantine/requestQuarantine.js'
import type { RequestIdentity } from '../quarantine/requestIdentity.js'
import { ResultState, type BatchItem, type ItemResult, type OutputPart, type RewardCall } from '../protocol/batches.js'
import type { RoutingRoute } from '../protocol/routing.js'
import { isEndedByHost, type ItemRunRequest, type RewardScore, type RunOutcome, type RunProgress } from '../protocol/runnerTasks.js'
import type { Replica } from '../replication/log/replica.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { LogFields, Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import type { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import type { Batch } from './batch.js'
import { BatchEvent } from './batchEvents.js'
import type { Engine } from '../batchScheduling/engineFleet.js'
import { MoveReason, type Move } from '../batchScheduling/movePolicy.js'
import type { ItemExecutor, StartedRun } from './itemExecutor.js'
import { ItemFailures, RETRY_PAUSE_MS } from './itemFailures.js'
import { ItemOutput } from './itemOutput.js'
import { OutputReplicator } from './outputReplicator.js'
import { ResultListing } from './resultListing.js'
import { recordOutcome } from './runOutcome.js'
import { moveFields, reasonOf } from './runLogFields.js'
import type { BatchTimes, SchedulableItem } from '../batchScheduling/schedulableItem.js'
import { ItemStage } from './stepReports.js'

/** A run checks for a faster engine each time the run has received this many further events. */
const MOVE_CHECK_EVENTS_COUNT = 4

export interface ItemRunOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  executor: ItemExecutor
  quarantine: RequestQuarantine
  replica: Replica
  /** Waits for a slot of an engine; undefined when none is free until the deadline. */
  acquire: (run: ItemRun, deadlineMs: number, scope: Scope) => Promise<Engine | undefined>
  release: (run: ItemRun, engine: Engine) => void
  /** Keeps the slot of an engine for the item's next `acquire`. */
  keepSlot: (run: ItemRun, engine: Engine) => void
  /** Why a run should move to another engine with a free slot; undefined if it should stay. */
  moveOf: (run: ItemRun, engine: Engine) => Move | undefined
  /** Called once the output of the item is complete. */
  onComplete: (run: ItemRun) => void
  tokensPerEvent: (run: ItemRun) => number
  /** Called when another endpoint answers at the address of an engine. */
  markRemoved: (endpointId: string) => void
  /** Number of engines of the item's service that accept new runs. */
  enginesCount: (run: ItemRun) => number
  /** The route of a request in the current routing configuration. */
  routeOf: (host: string, path: string) => RoutingRoute | undefined
}

export class ItemRun implements SchedulableItem {
  readonly batch: Batch
  readonly item: BatchItem
  readonly output: ItemOutput
  readonly times: BatchTimes
  readonly isCarriedOver: boolean
  stage = ItemStage.Queued
  private readonly _options: ItemRunOptions
  private readonly _failures: ItemFailures
  private readonly _outputReplicator: OutputReplicator
  private readonly _listing: ResultListing
  private readonly _identity: RequestIdentity
  private readonly _startedAtMs: number
  /** Why the present run was ended to be moved. */
  private _move: Move | undefined
  private _current: { engine: Engine, run: StartedRun, startedAtMs: number, hasBegun: boolean } | undefined
  /** Id of the last event that an engine has sent; `output` may not have it yet. */
  private _lastEventId: number

  /** @param earlierOutput output that the item already has from an earlier batch or leader */
  constructor (options: ItemRunOptions, batch: Batch, item: BatchItem, times: BatchTimes, earlierOutput: ItemOutput | undefined, isCarriedOver: boolean) {
    this._options = options
    this._startedAtMs = options.clock.nowMs()
    this._identity = options.quarantine.identify({ host: batch.submission.host, method: 'POST', path: item.path, body: item.body }, true)
    this.batch = batch
    this.item = item
    this._failures = new ItemFailures(item.itemId)
    this.times = times
    this.output = earlierOutput ?? new ItemOutput()
    this._lastEventId = this.output.lastEventId
    this.isCarriedOver = isCarriedOver
    this._outputReplicator = new OutputReplicator({
      clock: options.clock,
      replica: options.replica,
      batchId: batch.batchId,
      itemId: item.itemId,
      output: this.output,
      onNotReplicated: (afterEventId, outcome) => this._log(BatchEvent.ProgressNotReplicated, { afterEventId, outcome })
    })
    this._listing = new ResultListing({
      clock: options.clock,
      replica: options.replica,
      batch,
      output: this.output,
      outputReplicator: this._outputReplicator,
      onAnswer: ({ state }, outcome) => this._log(BatchEvent.ItemListed, { groupId: item.groupId, state, outcome })
    })
  }

  get priority (): number {
    return this.batch.submission.priority ?? 0
  }

  get dueAtMs (): number {
    return this.times.dueAtMs
  }

  /** The engine on which the item is running; undefined for none. */
  get engine (): Engine | undefined {
    return this._current?.engine
  }

  /** Whether the item may not use all engines that other items of its batch may use. */
  get isRestricted (): boolean {
    return this._failures.attribution.endpointsCount > 0
  }

  /** Whether the item has failed at an engine, which is then only used if no other engine fits. */
  avoids ({ id }: Engine): boolean {
    return this._failures.attribution.hasFailedAt(id)
  }

  /** Ends the run at the present engine, so that the item continues at another engine. */
  move (move: Move): void {
    this._move = move
    this._current?.run.stop()
  }

  /**
   * Ends a run whose engine was found unreachable since the run was sent there and that
   * has not begun: its own timeout would only tell later what is known, and if its host
   * is lost too, nobody would tell before the lease of the host has ended.
   */
  leaveUnreachable (): void {
    if (!this._current || this._current.hasBegun) return
    const { engine, run, startedAtMs } = this._current
    const { unreachableSinceMs } = engine.health
    if (unreachableSinceMs === undefined || unreachableSinceMs <= startedAtMs) return
    this._move = { reason: MoveReason.EngineUnreachable, restCount: this.remainingTokensCount / this.tokensPerEvent }
    run.giveUp()
  }

  get isStarted (): boolean {
    return this._lastEventId > 0
  }

  /** Whether all its output exists, so that the item needs no engine any more. */
  get isGenerated (): boolean {
    return this.stage === ItemStage.Scoring || this.stage === ItemStage.Committing
  }

  /** Number of events that were generated so far. */
  get generatedCount (): number {
    return this._lastEventId
  }

  /** Expected tokens of the item less the tokens of the generated events. */
  get remainingTokensCount (): number {
    return Math.max(0, this.item.expectedTokensCount - this._lastEventId * this.tokensPerEvent)
  }

  get tokensPerEvent (): number {
    return this._options.tokensPerEvent(this)
  }

  /** Runs the item to its end and resolves once its result is listed. */
  async run (scope: Scope, completed: ItemResult | undefined): Promise<void> {
    if (completed) return await this._reuse(completed, scope)
    const isComplete = await this._runUntilComplete(scope)
    const result = isComplete ? await this._score(scope) : this._abandonedResult()
    await this._commit(result, scope)
  }

  private async _reuse (completed: ItemResult, scope: Scope): Promise<void> {
    this._log(BatchEvent.ItemReused, { versions: completed.versions.map(String), isWhole: true })
    await this._commit(completed, scope)
  }

  /** Runs the item until its output is complete; resolves to false if the item is abandoned. */
  private async _runUntilComplete (scope: Scope): Promise<boolean> {
    const { clock } = this._options
    if (this.isStarted) this._log(BatchEvent.ItemReused, { eventsCount: this.output.lastEventId, isWhole: false })
    for (;;) {
      // No await before `acquire`: the item has to request a slot in the same turn as the rest of its batch.
      this.stage = ItemStage.Queued
      const engine = await this._options.acquire(this, this.times.abandonAtMs, scope)
      if (!engine) return false
      this.stage = ItemStage.Running
      const outcome = await this._runOn(engine, scope)
      this._logRun(engine, outcome)
      if (outcome.kind === 'finished') {
        this._options.onComplete(this)
        return true
      }
      if (outcome.kind === 'impossible') return false
      if (outcome.kind === 'moved') continue
      if (outcome.kind === 'interrupted') {
        this.stage = ItemStage.Pausing
        await sleepUntil(clock, scope, clock.nowMs() + RETRY_PAUSE_MS)
        continue
      }
      if (this._shouldAbandon()) return false
      this.stage = ItemStage.Pausing
      await sleepUntil(clock, scope, clock.nowMs() + this._failures.retryPauseMs)
    }
  }

  private _logRun (engine: Engine, outcome: RunOutcome): void {
    this._options.metrics.count(MetricName.ItemRunEnded, { outcome: outcome.kind })
    const fields = { endpointId: engine.id, eventsCount: this.output.lastEventId }
    if (outcome.kind === 'finished') return this._log(BatchEvent.ItemFinished, { ...fields, versions: this.output.versions.map(String) })
    if (outcome.kind === 'moved') return this._logMove(engine, fields)
    this._log(BatchEvent.ItemRunFailed, { ...fields, outcome: outcome.kind, reason: reasonOf(outcome) })
  }

  private _logMove ({ pace }: Engine, fields: LogFields): void {
    this._options.metrics.count(MetricName.ItemMoved, { reason: this._move?.reason ?? '' })
    this._log(BatchEvent.ItemMoved, { ...fields, ...moveFields(pace, this._move) })
  }

  private _shouldAbandon (): boolean {
    const route = this._options.routeOf(this.batch.submission.host, this.batch.submission.path)
    const haveExhausted = route !== undefined && this._failures.haveExhausted(route.maxAttemptsCount, this._options.enginesCount(this))
    return haveExhausted || this._options.clock.nowMs() >= this.times.abandonAtMs
  }

  /** Runs the item at an engine and releases the slot, unless only the host that ran the item was lost. */
  private async _runOn (engine: Engine, scope: Scope): Promise<RunOutcome> {
    const { clock, markRemoved, release, keepSlot } = this._options
    const startedAtMs = clock.nowMs()
    let outcome: RunOutcome | undefined
    try {
      outcome = await this._attempt(engine, scope)
      // The outcome is recorded before the slot is released, because another run may then get the slot.
      recordOutcome(outcome, { engine, startedAtMs, failures: this._failures.attribution, markRemoved })
      return outcome
    } finally {
      if (outcome?.kind === 'interrupted') keepSlot(this, engine)
      else release(this, engine)
    }
  }

  private async _attempt (engine: Engine, scope: Scope): Promise<RunOutcome> {
    const { executor, quarantine } = this._options
    const quarantined = quarantine.startRun(this._identity, engine.endpoint)
    const startedAtMs = this._options.clock.nowMs()
    const run = executor.run(this._request(engine), this.times.abandonAtMs, scope, (progress, ageMs) => {
      const receivedAtMs = this._options.clock.nowMs() - ageMs
      if (!current.hasBegun) this._recordStart(engine, receivedAtMs)
      current.hasBegun = true
      engine.health.responded(receivedAtMs)
      this._onProgress(progress, engine, scope)
    })
    const current = { engine, run, startedAtMs, hasBegun: false }
    this._current = current
    this._move = undefined
    this._options.metrics.count(MetricName.ItemRunStarted)
    const { runnerId } = run
    this._log(BatchEvent.ItemStarted, { endpointId: engine.id, runnerId, afterEventId: this.output.lastEventId, version: engine.version(this.item.model) })
    try {
      const outcome = await run.outcome
      this._reportToQuarantine(quarantined, outcome)
      this._applyVersions(outcome, engine)
      return outcome
    } catch (error) {
      quarantine.abandoned(quarantined)
      throw error
    } finally {
      this._current = undefined
      this._lastEventId = this.output.lastEventId
    }
  }

  private _onProgress ({ lastEventId, gapsMs, parts }: RunProgress, engine: Engine, scope: Scope): void {
    const hadChecksCount = Math.floor(this._lastEventId / MOVE_CHECK_EVENTS_COUNT)
    for (const gapMs of gapsMs) engine.pace.recordGap(gapMs)
    this._lastEventId = Math.max(this._lastEventId, lastEventId)
    for (const { afterEventId, part } of parts) this._addPart(afterEventId, part, engine)
    this._outputReplicator.replicateIfEnough(scope)
    const isCheckDue = Math.floor(this._lastEventId / MOVE_CHECK_EVENTS_COUNT) > hadChecksCount
    const move = isCheckDue && !scope.isClosed ? this._options.moveOf(this, engine) : undefined
    if (move) this.move(move)
  }

  private _addPart (afterEventId: number, part: OutputPart, engine: Engine): void {
    // A report that was sent again repeats its parts.
    if (afterEventId !== this.output.lastEventId) return
    this.output.add(afterEventId, part)
    for (const version of part.versions) engine.recordVersion(this.item.model, version)
  }

  private _applyVersions (outcome: RunOutcome, engine: Engine): void {
    if (outcome.kind === 'staleVersion') engine.setVersion(this.item.model, outcome.version)
    if (outcome.kind === 'mixedVersions') this.output.clear()
  }

  /** Records that the engine has sent the first event of a run. */
  private _recordStart (engine: Engine, observedAtMs: number): void {
    engine.health.accepted(observedAtMs)
    this._failures.attribution.accepted(engine.id)
  }

  /** The item itself is owed; its lost connections show that an engine has ended. */
  private _reportToQuarantine (run: QuarantinedRun, outcome: RunOutcome): void {
    const { quarantine } = this._options
    if (isEndedByHost(outcome)) return quarantine.abandoned(run)
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

  private _request (engine: Engine): ItemRunRequest {
    const { path, headers, body, itemId } = this.item
    const { host, account, minVersion, path: batchPath } = this.batch.submission
    const isSingleVersion = this._options.routeOf(host, batchPath)?.batch?.isSingleVersion === true
    const [onlyVersion] = this.output.versions
    return {
      endpoint: engine.endpoint,
      path,
      host,
      headers,
      body,
      itemId,
      ...(account === undefined ? {} : { account }),
      afterEventId: this.output.lastEventId,
      minVersion,
      isSingleVersion,
      ...(isSingleVersion && onlyVersion !== undefined ? { onlyVersion } : {})
    }
  }

  /** Writes all events that are not in the replicated state yet. */
  async replicateOutput (progress: Progress): Promise<void> {
    await this._outputReplicator.replicateAll(progress)
  }

  private _abandonedResult (): ItemResult {
    this._log(BatchEvent.ItemAbandoned, { failuresCount: this._failures.attribution.failuresCount, enginesCount: this._failures.attribution.endpointsCount })
    return { itemId: this.item.itemId, state: ResultState.Abandoned, parts: [], versions: [] }
  }

  /** Waits for the score and returns the result; an abandoned result if there is no score. */
  private async _score (scope: Scope): Promise<ItemResult> {
    const { reward, itemId } = this.item
    const result = { itemId, parts: [], versions: this.output.versions, state: ResultState.Completed }
    if (!reward) return result
    this.stage = ItemStage.Scoring
    const score = await this._scoreUntilDecided(reward, scope)
    this._log(BatchEvent.ItemScored, { rewardId: reward.rewardId, outcome: score.kind })
    return score.kind === 'scored' ? { ...result, score: score.receipt } : this._abandonedResult()
  }

  /** Repeats the reward call while the host that makes it stops or is lost; its endpoint answers a repeated call with the same receipt. */
  private async _scoreUntilDecided (reward: RewardCall, scope: Scope): Promise<RewardScore> {
    const { clock, executor } = this._options
    for (;;) {
      const score = await executor.score(reward, this.times.abandonAtMs, scope)
      if (score.kind !== 'interrupted') return score
      await sleepUntil(clock, scope, clock.nowMs() + RETRY_PAUSE_MS)
    }
  }

  private async _commit (result: ItemResult, scope: Scope): Promise<void> {
    this.stage = ItemStage.Committing
    if (await this._listing.list(result, scope)) this._recordMetrics(result.state)
  }

  private _recordMetrics (state: ResultState): void {
    const { clock, metrics } = this._options
    metrics.count(MetricName.ItemListed, { state })
    metrics.timing(MetricName.ItemDurationMs, clock.nowMs() - this._startedAtMs, { state })
  }

  private _log (event: BatchEvent, fields: LogFields): void {
    this._options.logger.event(event, { batchId: this.batch.batchId, itemId: this.item.itemId, ...fields })
  }
}
