/**
 * Serves pulls: asks the ledger what the trainer gets, brings the contents
 * together, and asks again before it answers if that took a call. The last
 * answer of the ledger before the reply is the moment of delivery: a version
 * that the trainer published before it counts, a later one does not.
 */
import { RolloutCommandKind, SampleDropReason, type CommittedSample, type RolloutResultOf } from '../../protocol/rolloutCommands.js'
import type { PullReply, PullRequest, Sample } from '../../protocol/trainers.js'
import { MetricName } from '../../utils/metricNames.js'
import { invariant } from '../../utils/errors.js'
import type { Progress } from '../../utils/progress.js'
import type { LedgerClient } from './ledgerClient.js'
import { RolloutEvent } from './rolloutEvents.js'
import type { SampleContent } from './rolloutMethods.js'
import type { RolloutParts } from './rolloutParts.js'
import type { SampleReplication } from './sampleReplication.js'
import { WakeSignal } from './wakeSignal.js'

/** A hint may be lost with its host; the ledger is asked again at this interval. */
const POLL_INTERVAL_MS = 1_000
/** Holders that stay out of reach for this long have lost what they held. */
const UNREACHABLE_IS_LOST_MS = 3_000
const RETRY_FETCH_MS = 200

type PullRefused = RolloutResultOf<'pullRefused'> | RolloutResultOf<'sessionFenced'> | RolloutResultOf<'unknownJob'>
type AdvanceResult = RolloutResultOf<'advanced'> | PullRefused

export type PullOutcome =
  | { kind: 'reply', reply: PullReply }
  | { kind: 'refused', result: PullRefused }
  | { kind: 'unavailable' }

export interface PullServerOptions {
  parts: RolloutParts
  ledger: LedgerClient
  replication: SampleReplication
  /** Slots of a job may be waiting for a host. */
  onSlotsWaiting: (job: string) => void
}

export class PullServer {
  private readonly _options: PullServerOptions
  private readonly _signals = new Map<string, Set<WakeSignal>>()
  private readonly _lastStep = new Map<string, number>()
  /** When holders of a content were first found out of reach. */
  private readonly _unreachableSinceMs = new Map<string, number>()

  constructor (options: PullServerOptions) {
    this._options = options
  }

  /** A group of the job is whole. */
  wake (job: string): void {
    for (const signal of this._signals.get(job) ?? []) signal.wake()
  }

  /** @param progress its deadline is that of the answer; the wait for samples ends by the request */
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
    const { clock } = this._options.parts
    const waitUntilMs = Math.min(progress.deadlineMs, clock.nowMs() + request.waitMs)
    const contents = new Map<string, SampleContent>()
    for (;;) {
      const result = await this._advance(job, request, progress)
      if (result === undefined) return { kind: 'unavailable' }
      if (result.kind !== 'advanced') return { kind: 'refused', result }
      this._noteStep(job, request.step)
      const { deliverable, stepComplete } = result
      const missing = deliverable.filter(({ attemptId }) => !contents.has(attemptId))
      const isAtHand = missing.length === 0 || await this._gather(missing, contents, progress)
      if (isAtHand && (deliverable.length > 0 || stepComplete)) return toReply(request, result, contents)
      if (progress.isOver() || (isAtHand && clock.nowMs() >= waitUntilMs)) return emptyReply(request)
      if (isAtHand) await signal.wait(clock, progress.scope, Math.min(waitUntilMs, clock.nowMs() + POLL_INTERVAL_MS))
    }
  }

  private async _advance (job: string, request: PullRequest, progress: Progress): Promise<AdvanceResult | undefined> {
    const { ledger, parts: { hostId } } = this._options
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

  /** @returns whether all contents were on this host, so that no time has passed */
  private async _gather (missing: CommittedSample[], contents: Map<string, SampleContent>, progress: Progress): Promise<boolean> {
    const { replication, parts: { hostId, clock } } = this._options
    const outcomes = await replication.fetch(missing, progress)
    let hasUnreachable = false
    for (const sample of missing) {
      const outcome = outcomes.get(sample.attemptId)
      if (outcome?.kind === 'found') {
        contents.set(sample.attemptId, outcome.content)
        this._unreachableSinceMs.delete(sample.attemptId)
      } else if (outcome?.kind === 'unreachable' && !this._isGone(sample.attemptId)) hasUnreachable = true
      else await this._dropLost(sample, progress)
    }
    if (hasUnreachable) await this._pause(progress, clock.nowMs() + RETRY_FETCH_MS)
    return missing.every(sample => sample.holderHostIds.includes(hostId) && contents.has(sample.attemptId))
  }

  private async _pause (progress: Progress, untilMs: number): Promise<void> {
    await new WakeSignal().wait(this._options.parts.clock, progress.scope, untilMs)
  }

  private _isGone (attemptId: string): boolean {
    const nowMs = this._options.parts.clock.nowMs()
    const sinceMs = this._unreachableSinceMs.get(attemptId) ?? nowMs
    this._unreachableSinceMs.set(attemptId, sinceMs)
    return nowMs - sinceMs >= UNREACHABLE_IS_LOST_MS
  }

  private async _dropLost (sample: CommittedSample, progress: Progress): Promise<void> {
    const { ledger, parts: { logger, metrics }, onSlotsWaiting } = this._options
    const { job, step, group, index, attemptId } = sample
    this._unreachableSinceMs.delete(attemptId)
    logger.event(RolloutEvent.ContentLost, { job, attemptId })
    metrics.count(MetricName.SampleDropped, { reason: SampleDropReason.ContentLost })
    await ledger.submit({ kind: RolloutCommandKind.DropSample, job, step, group, index, attemptId, reason: SampleDropReason.ContentLost }, progress)
    onSlotsWaiting(job)
  }

  private _noteStep (job: string, step: number): void {
    if (this._lastStep.get(job) === step) return
    this._lastStep.set(job, step)
    this._options.onSlotsWaiting(job)
  }
}

function emptyReply ({ step }: PullRequest): PullOutcome {
  return { kind: 'reply', reply: { samples: [], stepComplete: false, step } }
}

function toReply (request: PullRequest, result: RolloutResultOf<'advanced'>, contents: Map<string, SampleContent>): PullOutcome {
  const samples = result.deliverable.map((sample): Sample => {
    const content = contents.get(sample.attemptId)
    invariant(content, `the content of position ${sample.position} was not gathered`)
    return { position: sample.position, ...content }
  })
  return { kind: 'reply', reply: { samples, stepComplete: result.stepComplete, step: request.step } }
}
