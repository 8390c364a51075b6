/**
 * Runs one leased slot to its end: generate, score, keep on two hosts, commit.
 * What was generated is never thrown away while it can still be delivered: a
 * refusal or a lost engine makes the worker go on behind the tokens it has.
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
import type { EnginePaces, SamplePace } from './enginePaces.js'
import { groupIsWhole, type SampleContent } from './rolloutMethods.js'
import type { JobOutlooks } from './jobOutlooks.js'
import type { LedgerClient } from './ledgerClient.js'
import { RolloutEvent } from './rolloutEvents.js'
import type { RolloutParts } from './rolloutParts.js'
import type { SampleReplication } from './sampleReplication.js'
import type { SampleStore } from './sampleStore.js'
import type { SampleScorer } from './sampleScorer.js'

const RETRY_PAUSE_MS = 250
const MOVED = 'moved to a faster engine'
/** A commit that is not known after this time is left to the lease. */
const COMMIT_TIMEOUT_MS = 60_000
const HINT_TIMEOUT_MS = 2_000
/** Tokens between two checkpoints of a running sample. */
const CHECKPOINT_TOKENS = 256
const CHECKPOINT_TIMEOUT_MS = 6_000

export interface WorkerParts {
  parts: RolloutParts
  ledger: LedgerClient
  store: SampleStore
  replication: SampleReplication
  scorer: SampleScorer
  outlooks: JobOutlooks
  paces: EnginePaces
  /** Starts a task beside the workers. */
  spawn: (name: string, task: Task) => void
  /** Wakes pulls of this host. */
  onGroupWhole: (job: string) => void
}

export class SlotWorker {
  private readonly _with: WorkerParts
  private readonly _slot: LeasedSlot
  private readonly _spec: RolloutJobSpec
  private _partial: PartialCompletion = { tokens: [], versions: [] }
  private _checkpointedCount = 0
  private _isCheckpointing = false
  private readonly _pace: SamplePace
  /** The engine that was too slow. */
  private _leftEngineId: string | undefined

  constructor (workerParts: WorkerParts, slot: LeasedSlot, spec: RolloutJobSpec) {
    this._with = workerParts
    this._slot = slot
    this._spec = spec
    this._pace = workerParts.paces.sample(spec.pool)
  }

  /** @throws ScopeClosedError when the attempt is revoked */
  async run (scope: Scope): Promise<void> {
    const { clock, metrics } = this._with.parts
    const progress = new Progress(clock, scope, clock.nowMs() + this._spec.attemptTimeoutMs)
    let isKept = false
    try {
      if (this._slot.earlierAttemptsCount > 0) await this._takeOver(progress)
      const isGenerated = await this._generate(progress)
      const content = isGenerated ? await this._score(progress) : undefined
      if (content) isKept = await this._commit(content, scope)
      else this._giveUp()
    } finally {
      const { tokens } = this._partial
      if (!isKept && tokens.length > 0) metrics.count(MetricName.TokensDiscarded, { reason: 'attemptDropped' }, tokens.length)
    }
  }

  /** Goes on behind what an earlier attempt of the slot left with a host. */
  private async _takeOver (progress: Progress): Promise<void> {
    const checkpoint = await this._with.replication.findCheckpoint(this._slot, progress)
    if (!checkpoint || this._isTooOld(checkpoint.versions)) return
    this._partial = { tokens: checkpoint.tokens, versions: checkpoint.versions }
    this._checkpointedCount = checkpoint.tokens.length
  }

  /** @returns false when the time of the attempt is over */
  private async _generate (progress: Progress): Promise<boolean> {
    const { completions, clock } = this._with.parts
    while (!progress.isOver()) {
      this._partial = { tokens: [...this._partial.tokens], versions: this._partial.versions }
      const run = progress.scope.child('completion')
      this._pace.start(() => run.close(MOVED))
      const outcome = await this._unlessMoved(completions.run(this._task(), progress.within(run), (tokens, versions) => this._noteTokens(tokens, versions)), run, progress)
      run.close('over')
      if (outcome === undefined) continue
      this._partial = outcome.kind === 'complete' ? outcome.completion : outcome.partial
      if (outcome.kind === 'complete') return true
      this._discardTooOld()
      const pauseMs = Math.max(RETRY_PAUSE_MS, retryAfterMs(outcome))
      await sleepUntil(clock, progress.scope, Math.min(progress.deadlineMs, clock.nowMs() + pauseMs))
    }
    return false
  }

  /** @returns undefined when the run was broken off to go on with another engine */
  private async _unlessMoved (running: Promise<CompletionOutcome>, run: Scope, progress: Progress): Promise<CompletionOutcome | undefined> {
    try {
      return await running
    } catch (error) {
      progress.scope.throwIfClosed()
      if (run.closeReason !== MOVED) throw error
      this._leftEngineId = this._partial.versions.at(-1)?.engineId
      this._with.parts.metrics.count(MetricName.SampleMoved, {})
      return undefined
    }
  }

  private _task (): CompletionTask {
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
        excludedEndpointIds: this._leftEngineId === undefined ? [] : [this._leftEngineId]
      },
      model: this._spec.adapter ?? this._modelName(),
      prompt,
      maxTokensCount: this._spec.maxTokensCount,
      ...(tokens.length > 0 ? { resumeTokens: [...tokens], resumeVersions: versions } : {})
    }
  }

  private _modelName (): string {
    return this._with.parts.control.configuration.get(ResourceKind.EndpointPool, this._spec.pool)?.spec.model ?? ''
  }

  /** The trainer may have moved further than was forecast when the slot was leased. */
  private _minWeightVersion (): number {
    return Math.max(this._slot.minWeightVersion, this._with.outlooks.oldestDeliverableVersion(this._slot.job, this._spec))
  }

  private _isTooOld (versions: VersionSpan[]): boolean {
    const oldest = this._with.outlooks.oldestDeliverableVersion(this._slot.job, this._spec)
    return versions.some(({ weightVersion }) => weightVersion < oldest)
  }

  private _discardTooOld (): void {
    if (!this._isTooOld(this._partial.versions)) return
    this._with.parts.metrics.count(MetricName.TokensDiscarded, { reason: SampleDropReason.Stale }, this._partial.tokens.length)
    this._partial = { tokens: [], versions: [] }
    this._checkpointedCount = 0
  }

  /** Keeps what has been generated so far, for the hosts that may have to go on with it. */
  private _noteTokens (tokens: string[], versions: VersionSpan[] | undefined): void {
    if (!versions) return
    this._partial.tokens.push(...tokens)
    this._partial.versions = appendSpans(this._partial.versions, versions)
    this._pace.note(tokens.length, versions.at(-1)?.engineId)
    const count = this._partial.tokens.length
    if (this._isCheckpointing || count - this._checkpointedCount < CHECKPOINT_TOKENS) return
    this._checkpointedCount = count
    this._isCheckpointing = true
    // Beside the stream: a slow peer must not hold up the engine.
    this._with.spawn(`checkpoint of ${this._slot.attemptId}`, async scope => await this._checkpoint(scope))
  }

  private async _checkpoint (scope: Scope): Promise<void> {
    const { clock } = this._with.parts
    const { job, step, group, index } = this._slot
    const checkpoint = { job, step, group, index, tokens: [...this._partial.tokens], versions: this._partial.versions }
    try {
      await this._with.replication.checkpoint(checkpoint, new Progress(clock, scope, clock.nowMs() + CHECKPOINT_TIMEOUT_MS))
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
    const score = await this._with.scorer.score({ pool, priorityClass, callerName: `job/${job}`, prompt, tokens }, progress)
    return score === undefined ? undefined : { ...content, score }
  }

  /** @returns whether the sample fills its slot */
  private async _commit (content: SampleContent, scope: Scope): Promise<boolean> {
    const { ledger, replication, parts: { clock } } = this._with
    const { job, step, group, index, attemptId, versions } = content
    const progress = new Progress(clock, scope, clock.nowMs() + COMMIT_TIMEOUT_MS)
    const holderHostIds = await replication.keep(content, progress)
    const result = await ledger.submit({ kind: RolloutCommandKind.CommitSample, job, step, group, index, attemptId, holderHostIds, versions }, progress)
    if (result?.kind === 'sampleCommitted') {
      await this._announceGroup(result.pullHostId, progress)
      return true
    }
    if (result) this._with.store.forget(attemptId)
    this._noteDrop(result)
    return false
  }

  private async _announceGroup (pullHostId: string | undefined, progress: Progress): Promise<void> {
    const { parts: { hostId, peers, clock }, onGroupWhole } = this._with
    const { job } = this._slot
    if (pullHostId === undefined) return
    if (pullHostId === hostId) return onGroupWhole(job)
    await peers.call(pullHostId, groupIsWhole, { job }, progress.before(clock.nowMs() + HINT_TIMEOUT_MS))
  }

  private _noteDrop (result: RolloutResult | undefined): void {
    const { logger, metrics } = this._with.parts
    const reason = result?.kind === 'sampleRefused' ? result.reason : result?.kind ?? 'unknownFate'
    metrics.count(MetricName.SampleDropped, { reason })
    logger.event(RolloutEvent.SampleDropped, { job: this._slot.job, attemptId: this._slot.attemptId, reason })
  }

  private _giveUp (): void {
    const { logger, metrics } = this._with.parts
    metrics.count(MetricName.SampleRerun, { reason: SampleDropReason.GivenUp })
    logger.event(RolloutEvent.AttemptGivenUp, { job: this._slot.job, attemptId: this._slot.attemptId })
  }
}

function retryAfterMs (outcome: Extract<CompletionOutcome, { kind: 'refused' }>): number {
  return outcome.refusal.retryAfterMs ?? 0
}

/** Joins spans; a span that goes on where the last one ended makes it longer. */
export function appendSpans (spans: VersionSpan[], more: VersionSpan[]): VersionSpan[] {
  const joined = spans.map(span => ({ ...span }))
  for (const span of more) {
    const last = joined.at(-1)
    const goesOn = last && last.weightVersion === span.weightVersion && last.engineId === span.engineId && last.engineIncarnation === span.engineIncarnation
    if (goesOn) last.toToken = span.toToken
    else joined.push({ ...span })
  }
  return joined
}
