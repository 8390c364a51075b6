/**
 * Runs one leased slot: generates the sample, scores it, stores it on two hosts
 * and commits it. Tokens are not discarded while they can still be delivered:
 * after a refusal or the loss of an engine, the worker continues the sample from
 * the tokens generated so far.
 */
import type { LeasedSlot, RolloutResult } from '../../protocol/rolloutCommands.js'
import { RolloutCommandKind, SampleDropReason } from '../../protocol/rolloutCommands.js'
import { ResourceKind, type RolloutJobSpec } from '../../protocol/resources.js'
import type { VersionSpan } from '../../protocol/trainers.js'
import { sleepUntil } from '../../utils/clock.js'
import { MetricName } from '../../utils/metricNames.js'
import { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import type { Task } from '../../utils/supervisor.js'
import type { CompletionOutcome, CompletionTask, PartialCompletion } from '../completions/completionRunner.js'
import type { ThroughputMonitor, SampleThroughput } from './sampleThroughput.js'
import { notifyGroupComplete, type SampleContent } from './rolloutMethods.js'
import type { JobOutlooks } from './jobOutlooks.js'
import type { LedgerClient } from './ledgerClient.js'
import { RolloutEvent } from './rolloutEvents.js'
import type { RolloutContext } from './rolloutContext.js'
import type { SampleReplication } from './sampleReplication.js'
import type { SampleStore } from './sampleStore.js'
import type { SampleScorer } from './sampleScorer.js'

const MIN_RETRY_BACKOFF_MS = 250
const MOVED_REASON = 'moved to a faster engine'
/** If the outcome of a commit is unknown after this time, the slot is free again when its lease expires. */
const COMMIT_TIMEOUT_MS = 60_000
const NOTIFY_TIMEOUT_MS = 2_000
/** Minimum number of tokens between two checkpoints of a running sample. */
const CHECKPOINT_TOKENS = 256
const CHECKPOINT_TIMEOUT_MS = 6_000

export interface WorkerOptions {
  context: RolloutContext
  ledger: LedgerClient
  store: SampleStore
  replication: SampleReplication
  scorer: SampleScorer
  outlooks: JobOutlooks
  throughputMonitor: ThroughputMonitor
  /** Starts a task that is independent of the worker's scope. */
  spawn: (name: string, task: Task) => void
  /** Called when a commit completed a group for which a pull on this host may wait. */
  onGroupComplete: (job: string) => void
}

export class SlotWorker {
  private readonly _options: WorkerOptions
  private readonly _slot: LeasedSlot
  private readonly _spec: RolloutJobSpec
  private _partial: PartialCompletion = { tokens: [], versions: [] }
  private _checkpointedCount = 0
  private _isCheckpointing = false
  private readonly _throughput: SampleThroughput
  /** The engine from which the sample was last moved; it is excluded from the next run. */
  private _slowEngineId: string | undefined

  constructor (options: WorkerOptions, slot: LeasedSlot, spec: RolloutJobSpec) {
    this._options = options
    this._slot = slot
    this._spec = spec
    this._throughput = options.throughputMonitor.trackSample(spec.pool)
  }

  /** @throws ScopeClosedError when the attempt is revoked */
  async run (scope: Scope): Promise<void> {
    const { clock, metrics } = this._options.context
    const progress = new Progress(clock, scope, clock.nowMs() + this._spec.attemptTimeoutMs)
    let isCommitted = false
    try {
      if (this._slot.earlierAttemptsCount > 0) await this._resumeFromCheckpoint(progress)
      const isGenerated = await this._generate(progress)
      const content = isGenerated ? await this._score(progress) : undefined
      if (content) isCommitted = await this._commit(content, scope)
      else this._recordTimeout()
    } finally {
      const { tokens } = this._partial
      if (!isCommitted && tokens.length > 0) metrics.count(MetricName.TokensDiscarded, { reason: 'attemptDropped' }, tokens.length)
    }
  }

  /** Resumes from the checkpoint of an earlier attempt at the slot, if one is found. */
  private async _resumeFromCheckpoint (progress: Progress): Promise<void> {
    const checkpoint = await this._options.replication.findCheckpoint(this._slot, progress)
    if (!checkpoint || this._isTooOld(checkpoint.versions)) return
    this._partial = { tokens: checkpoint.tokens, versions: checkpoint.versions }
    this._checkpointedCount = checkpoint.tokens.length
  }

  /** @returns false when the attempt has timed out */
  private async _generate (progress: Progress): Promise<boolean> {
    const { completions, clock } = this._options.context
    while (!progress.isPastDeadline()) {
      this._partial = { tokens: [...this._partial.tokens], versions: this._partial.versions }
      const runScope = progress.scope.child('completion')
      this._throughput.start(() => runScope.close(MOVED_REASON))
      const outcome = await this._outcomeUnlessMoved(completions.run(this._completionTask(), progress.within(runScope), (tokens, versions) => this._recordTokens(tokens, versions)), runScope, progress)
      runScope.close('over')
      if (outcome === undefined) continue
      this._partial = outcome.kind === 'complete' ? outcome.completion : outcome.partial
      if (outcome.kind === 'complete') return true
      this._discardTooOld()
      const backoffMs = Math.max(MIN_RETRY_BACKOFF_MS, retryAfterMs(outcome))
      await sleepUntil(clock, progress.scope, Math.min(progress.deadlineMs, clock.nowMs() + backoffMs))
    }
    return false
  }

  /** @returns undefined when the run was aborted to move the sample to another engine */
  private async _outcomeUnlessMoved (running: Promise<CompletionOutcome>, runScope: Scope, progress: Progress): Promise<CompletionOutcome | undefined> {
    try {
      return await running
    } catch (error) {
      progress.scope.throwIfClosed()
      if (runScope.closeReason !== MOVED_REASON) throw error
      this._slowEngineId = this._partial.versions.at(-1)?.engineId
      this._options.context.metrics.count(MetricName.SampleMoved, {})
      return undefined
    }
  }

  private _completionTask (): CompletionTask {
    const { job, step, group, prompt, expectedTokensCount } = this._slot
    const { tokens, versions } = this._partial
    return {
      item: {
        pool: this._spec.pool,
        callerName: `job/${job}`,
        priorityClass: this._spec.priorityClass,
        affinityText: prompt,
        bodyBytes: prompt.length,
        groupKey: `${job}/${step}/${group}`,
        expectedTokensCount: Math.max(1, expectedTokensCount - tokens.length),
        minWeightVersion: this._minWeightVersion(),
        adapter: this._spec.adapter,
        excludedEndpointIds: this._slowEngineId === undefined ? [] : [this._slowEngineId]
      },
      model: this._spec.adapter ?? this._modelName(),
      prompt,
      maxTokensCount: this._spec.maxTokensCount,
      ...(tokens.length > 0 ? { resumeTokens: [...tokens], resumeVersions: versions } : {})
    }
  }

  private _modelName (): string {
    return this._options.context.control.configuration.get(ResourceKind.EndpointPool, this._spec.pool)?.spec.model ?? ''
  }

  /** The trainer may have advanced further than was forecast when the slot was leased. */
  private _minWeightVersion (): number {
    return Math.max(this._slot.minWeightVersion, this._options.outlooks.oldestDeliverableVersion(this._slot.job, this._spec))
  }

  private _isTooOld (versions: VersionSpan[]): boolean {
    const oldest = this._options.outlooks.oldestDeliverableVersion(this._slot.job, this._spec)
    return versions.some(({ weightVersion }) => weightVersion < oldest)
  }

  private _discardTooOld (): void {
    if (!this._isTooOld(this._partial.versions)) return
    this._options.context.metrics.count(MetricName.TokensDiscarded, { reason: SampleDropReason.Stale }, this._partial.tokens.length)
    this._partial = { tokens: [], versions: [] }
    this._checkpointedCount = 0
  }

  /** Collects generated tokens, and starts a checkpoint when enough of them are new. */
  private _recordTokens (tokens: string[], versions: VersionSpan[] | undefined): void {
    if (!versions) return
    this._partial.tokens.push(...tokens)
    this._partial.versions = appendSpans(this._partial.versions, versions)
    this._throughput.record(tokens.length, versions.at(-1)?.engineId)
    const count = this._partial.tokens.length
    if (this._isCheckpointing || count - this._checkpointedCount < CHECKPOINT_TOKENS) return
    this._checkpointedCount = count
    this._isCheckpointing = true
    // Runs concurrently with the stream, so that a slow peer doesn't stall the engine.
    this._options.spawn(`checkpoint of ${this._slot.attemptId}`, async scope => await this._storeCheckpoint(scope))
  }

  private async _storeCheckpoint (scope: Scope): Promise<void> {
    const { clock } = this._options.context
    const { job, step, group, index } = this._slot
    const checkpoint = { job, step, group, index, tokens: [...this._partial.tokens], versions: this._partial.versions }
    try {
      await this._options.replication.checkpoint(checkpoint, new Progress(clock, scope, clock.nowMs() + CHECKPOINT_TIMEOUT_MS))
    } finally {
      this._isCheckpointing = false
    }
  }

  private async _score (progress: Progress): Promise<SampleContent | undefined> {
    const { job, step, group, index, attemptId, prompt } = this._slot
    const { tokens, versions } = this._partial
    const { scoringPool: pool, priorityClass } = this._spec
    const content = { job, step, group, index, attemptId, prompt, tokens, versions }
    if (pool === undefined) return { ...content, score: null }
    const score = await this._options.scorer.score({ pool, priorityClass, callerName: `job/${job}`, prompt, tokens }, progress)
    return score === undefined ? undefined : { ...content, score }
  }

  /** @returns whether the ledger committed the sample */
  private async _commit (content: SampleContent, scope: Scope): Promise<boolean> {
    const { ledger, replication, context: { clock } } = this._options
    const { job, step, group, index, attemptId, versions } = content
    const progress = new Progress(clock, scope, clock.nowMs() + COMMIT_TIMEOUT_MS)
    const holderHostIds = await replication.replicate(content, progress)
    const result = await ledger.submit({ kind: RolloutCommandKind.CommitSample, job, step, group, index, attemptId, holderHostIds, versions }, progress)
    if (result?.kind === 'sampleCommitted') {
      await this._notifyGroupComplete(result.pullHostId, progress)
      return true
    }
    if (result) this._options.store.remove(attemptId)
    this._recordDrop(result)
    return false
  }

  private async _notifyGroupComplete (pullHostId: string | undefined, progress: Progress): Promise<void> {
    const { context: { hostId, peers, clock }, onGroupComplete } = this._options
    const { job } = this._slot
    if (pullHostId === undefined) return
    if (pullHostId === hostId) return onGroupComplete(job)
    await peers.call(pullHostId, notifyGroupComplete, { job }, progress.withDeadline(clock.nowMs() + NOTIFY_TIMEOUT_MS))
  }

  private _recordDrop (result: RolloutResult | undefined): void {
    const { logger, metrics } = this._options.context
    const reason = result?.kind === 'sampleRefused' ? result.reason : result?.kind ?? 'unknownFate'
    metrics.count(MetricName.SampleDropped, { reason })
    logger.event(RolloutEvent.SampleDropped, { job: this._slot.job, attemptId: this._slot.attemptId, reason })
  }

  private _recordTimeout (): void {
    const { logger, metrics } = this._options.context
    metrics.count(MetricName.SampleRerun, { reason: SampleDropReason.Abandoned })
    logger.event(RolloutEvent.AttemptTimedOut, { job: this._slot.job, attemptId: this._slot.attemptId })
  }
}

function retryAfterMs (outcome: Extract<CompletionOutcome, { kind: 'refused' }>): number {
  return outcome.refusal.retryAfterMs ?? 0
}

/** Concatenates spans; a span of the same version and engine as the last one is merged into it. */
export function appendSpans (spans: VersionSpan[], more: VersionSpan[]): VersionSpan[] {
  const joined = spans.map(span => ({ ...span }))
  for (const span of more) {
    const last = joined.at(-1)
    const isContinuation = last && last.weightVersion === span.weightVersion && last.engineId === span.engineId && last.engineIncarnation === span.engineIncarnation
    if (isContinuation) last.toToken = span.toToken
    else joined.push({ ...span })
  }
  return joined
}
