/**
 * Serves pulls: requests the deliverable samples from the ledger, fetches their
 * contents, and queries the ledger again before it replies if contents had to be
 * fetched from other hosts. The last response of the ledger before the reply is
 * the point of delivery: staleness is judged by the versions that the trainer
 * published before it.
 */
import { RolloutCommandKind, SampleDropReason, type CommittedSample, type RolloutResultOf } from '../../protocol/rolloutCommands.js'
import type { PullReply, PullRequest, Sample } from '../../protocol/trainers.js'
import { MetricName } from '../../utils/metricNames.js'
import { invariant } from '../../utils/errors.js'
import type { Progress } from '../../utils/progress.js'
import type { LedgerClient } from './ledgerClient.js'
import { RolloutEvent } from './rolloutEvents.js'
import type { SampleContent } from './rolloutMethods.js'
import type { RolloutContext } from './rolloutContext.js'
import type { SampleReplication } from './sampleReplication.js'
import { WakeSignal } from './wakeSignal.js'

/** The ledger is queried at this interval too, since a notification may be lost together with the host that sends it. */
const POLL_INTERVAL_MS = 1_000
/** The content of a sample counts as lost when the hosts that store it are unreachable for this long. */
const UNREACHABLE_TIMEOUT_MS = 3_000
const FETCH_RETRY_INTERVAL_MS = 200

type PullRefused = RolloutResultOf<'pullRefused'> | RolloutResultOf<'sessionFenced'> | RolloutResultOf<'unknownJob'>
type AdvanceResult = RolloutResultOf<'advanced'> | PullRefused

export type PullOutcome =
  | { kind: 'reply', reply: PullReply }
  | { kind: 'refused', result: PullRefused }
  | { kind: 'unavailable' }

export interface PullServerOptions {
  context: RolloutContext
  ledger: LedgerClient
  replication: SampleReplication
  /** Called when slots of a job may be waiting to be leased. */
  onSlotsWaiting: (job: string) => void
}

export class PullServer {
  private readonly _options: PullServerOptions
  private readonly _signals = new Map<string, Set<WakeSignal>>()
  private readonly _lastSteps = new Map<string, number>()
  /** When the hosts that store an attempt's content were first found unreachable. */
  private readonly _unreachableSinceMs = new Map<string, number>()

  constructor (options: PullServerOptions) {
    this._options = options
  }

  /** Wakes pulls of the job, because one of its groups is complete. */
  wake (job: string): void {
    for (const signal of this._signals.get(job) ?? []) signal.wake()
  }

  /** @param progress the reply is due at its deadline; the wait for samples is bounded by `request.waitMs` */
  async pull (job: string, request: PullRequest, progress: Progress): Promise<PullOutcome> {
    const signal = new WakeSignal()
    const signals = this._signals.get(job) ?? new Set()
    this._signals.set(job, signals.add(signal))
    try {
      return await this._pull(job, request, signal, progress)
    } finally {
      signals.delete(signal)
    }
  }

  private async _pull (job: string, request: PullRequest, signal: WakeSignal, progress: Progress): Promise<PullOutcome> {
    const { clock } = this._options.context
    const waitUntilMs = Math.min(progress.deadlineMs, clock.nowMs() + request.waitMs)
    const contents = new Map<string, SampleContent>()
    for (;;) {
      const result = await this._advance(job, request, progress)
      if (result === undefined) return { kind: 'unavailable' }
      if (result.kind !== 'advanced') return { kind: 'refused', result }
      this._recordStep(job, request.step)
      const { deliverable, stepComplete } = result
      const missing = deliverable.filter(({ attemptId }) => !contents.has(attemptId))
      const isAvailable = missing.length === 0 || await this._fetchMissing(missing, contents, progress)
      if (isAvailable && (deliverable.length > 0 || stepComplete)) return toReply(request, result, contents)
      if (progress.isPastDeadline() || (isAvailable && clock.nowMs() >= waitUntilMs)) return emptyReply(request)
      if (isAvailable) await signal.wait(clock, progress.scope, Math.min(waitUntilMs, clock.nowMs() + POLL_INTERVAL_MS))
    }
  }

  private async _advance (job: string, request: PullRequest, progress: Progress): Promise<AdvanceResult | undefined> {
    const { ledger, context: { hostId } } = this._options
    const { sessionNumber, step, heldPosition, trainerVersion, maxSamplesCount } = request
    const command = { kind: RolloutCommandKind.Advance, job, hostId, sessionNumber, step, heldPosition, trainerVersion, maxSamplesCount } as const
    const result = await ledger.submit(command, progress)
    switch (result?.kind) {
      case 'advanced':
      case 'pullRefused':
      case 'sessionFenced':
      case 'unknownJob':
        return result
      default:
        return undefined
    }
  }

  /** @returns whether all contents were on this host, so that the ledger's response is still current */
  private async _fetchMissing (missing: CommittedSample[], contents: Map<string, SampleContent>, progress: Progress): Promise<boolean> {
    const { replication, context: { hostId, clock } } = this._options
    const outcomes = await replication.fetch(missing, progress)
    let hasUnreachable = false
    for (const sample of missing) {
      const outcome = outcomes.get(sample.attemptId)
      if (outcome?.kind === 'found') {
        contents.set(sample.attemptId, outcome.content)
        this._unreachableSinceMs.delete(sample.attemptId)
      } else if (outcome?.kind === 'unreachable' && !this._isUnreachableForLong(sample.attemptId)) hasUnreachable = true
      else await this._dropLostSample(sample, progress)
    }
    if (hasUnreachable) await this._pause(progress, clock.nowMs() + FETCH_RETRY_INTERVAL_MS)
    return missing.every(sample => sample.holderHostIds.includes(hostId) && contents.has(sample.attemptId))
  }

  private async _pause (progress: Progress, untilMs: number): Promise<void> {
    await new WakeSignal().wait(this._options.context.clock, progress.scope, untilMs)
  }

  private _isUnreachableForLong (attemptId: string): boolean {
    const nowMs = this._options.context.clock.nowMs()
    const sinceMs = this._unreachableSinceMs.get(attemptId) ?? nowMs
    this._unreachableSinceMs.set(attemptId, sinceMs)
    return nowMs - sinceMs >= UNREACHABLE_TIMEOUT_MS
  }

  private async _dropLostSample (sample: CommittedSample, progress: Progress): Promise<void> {
    const { ledger, context: { logger, metrics }, onSlotsWaiting } = this._options
    const { job, step, group, index, attemptId } = sample
    this._unreachableSinceMs.delete(attemptId)
    logger.event(RolloutEvent.ContentLost, { job, attemptId })
    metrics.count(MetricName.SampleDropped, { reason: SampleDropReason.ContentLost })
    await ledger.submit({ kind: RolloutCommandKind.DropSample, job, step, group, index, attemptId, reason: SampleDropReason.ContentLost }, progress)
    onSlotsWaiting(job)
  }

  private _recordStep (job: string, step: number): void {
    if (this._lastSteps.get(job) === step) return
    this._lastSteps.set(job, step)
    this._options.onSlotsWaiting(job)
  }
}

function emptyReply ({ step }: PullRequest): PullOutcome {
  return { kind: 'reply', reply: { samples: [], stepComplete: false, step } }
}

function toReply (request: PullRequest, result: RolloutResultOf<'advanced'>, contents: Map<string, SampleContent>): PullOutcome {
  const samples = result.deliverable.map((sample): Sample => {
    const content = contents.get(sample.attemptId)
    invariant(content, `the content of position ${sample.position} was not fetched`)
    return { position: sample.position, ...content }
  })
  return { kind: 'reply', reply: { samples, stepComplete: result.stepComplete, step: request.step } }
}
