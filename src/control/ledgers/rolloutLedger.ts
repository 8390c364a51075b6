/**
 * The ledger of samples. For each slot of a step it records which hosts run it,
 * which attempt filled it, its position in the trainer's sequence, and whether the
 * trainer has confirmed the sample. The ledger holds no sample content.
 *
 * Its size is bounded: for each job it keeps the current step and those started
 * ahead, one number per prompt for the forecast, and counters. A step is removed
 * when the trainer holds all of it and pulls the next one.
 */
import { RolloutCommandKind, SampleDropReason, type HeldSample, type JobStatus, type LeasedSlot, type RolloutCommand, type RolloutCommandOf, type RolloutResult } from '../../protocol/rolloutCommands.js'
import type { RolloutJobSpec } from '../../protocol/resources.js'
import type { RolloutProgress } from '../../protocol/rolloutProgress.js'
import type { ApplyContext, StatePart } from '../../replication/replicatedState.js'
import { advance, dropCommitted, dropStaleUnoffered } from './rollouts/delivery.js'
import { forecastLength, recordLength, type Forecast } from './rollouts/forecast.js'
import { expireHosts, releaseWhere, renewHost, SLOT_LEASE_MS, type HostLeases } from './rollouts/hostLeases.js'
import { allSlots, allStates, findSlot, isWaiting, newJobState, oldestDeliverableVersion, oldestVersion, statesOf, tokensCountOf, type JobState } from './rollouts/jobState.js'
import { leaseSlots, openSteps, outlookOf } from './rollouts/slotLeasing.js'

/** Returns the job specification in force, from the same replicated state. */
export type JobSpecs = (job: string) => RolloutJobSpec | undefined

interface LedgerState {
  hosts: HostLeases
  jobs: Record<string, JobState>
}

export class RolloutLedger implements StatePart<RolloutCommand, RolloutResult> {
  private readonly _specOf: JobSpecs
  private readonly _forecast: Forecast
  private _state: LedgerState = { hosts: {}, jobs: {} }

  /** @param forecast has to be the same function on all hosts, because it determines the order of slots */
  constructor (specOf: JobSpecs, forecast: Forecast = forecastLength) {
    this._specOf = specOf
    this._forecast = forecast
  }

  apply (command: RolloutCommand, context: ApplyContext): RolloutResult {
    expireHosts(this._state.hosts, Object.values(this._state.jobs), context.atMs)
    this._forgetDeletedJobs()
    if (command.kind === RolloutCommandKind.LeaseSlots) return this._leaseSlots(command, context)
    const spec = this._specOf(command.job)
    if (!spec) return { kind: 'unknownJob' }
    const state = this._jobState(command.job)
    switch (command.kind) {
      case RolloutCommandKind.OpenSession: return openSession(state, command.sessionId)
      case RolloutCommandKind.CommitSample: return commitSample(state, spec, command)
      case RolloutCommandKind.Advance: return advance(state, spec, command)
      case RolloutCommandKind.DropSample: return dropSample(state, command)
      case RolloutCommandKind.MoveSample: return moveSample(state, command)
      case RolloutCommandKind.PublishWeights: return publishWeights(state, spec, command)
    }
  }

  snapshot (): unknown {
    return structuredClone(this._state)
  }

  restore (snapshot: unknown): void {
    this._state = structuredClone(snapshot) as LedgerState
  }

  /** The state of a job's current step; null for a job that no trainer has opened. */
  progress (job: string): RolloutProgress | null {
    const state = this._state.jobs[job]
    return state ? progressOf(state) : null
  }

  private _jobState (job: string): JobState {
    const state = this._state.jobs[job] ?? newJobState(job)
    this._state.jobs[job] = state
    return state
  }

  /** Removes the state of deleted jobs, so that a job created again under the same name starts afresh. */
  private _forgetDeletedJobs (): void {
    for (const job of Object.keys(this._state.jobs)) {
      if (!this._specOf(job)) delete this._state.jobs[job]
    }
  }

  private _leaseSlots (command: RolloutCommandOf<RolloutCommandKind.LeaseSlots>, { index, atMs }: ApplyContext): RolloutResult {
    const { hostId } = command
    if (!renewHost(this._state.hosts, command, atMs)) return { kind: 'leaseSuperseded' }
    const listedAttemptIds = new Set(command.runningAttemptIds)
    const owned = this._releaseUnlisted(hostId, listedAttemptIds)
    const slots = command.wanted.flatMap((wanted): LeasedSlot[] => {
      const spec = this._specOf(wanted.job)
      const state = this._state.jobs[wanted.job]
      if (!spec || !state) return []
      openSteps(state, spec)
      return leaseSlots(state, spec, wanted, { hostId, logIndex: index, forecast: this._forecast })
    })
    return {
      kind: 'leased',
      slots,
      revokedAttemptIds: command.runningAttemptIds.filter(attemptId => !owned.has(attemptId)),
      held: command.wantsHeld ? this._heldBy(hostId) : undefined,
      jobs: this._outlooks(),
      leaseRemainingMs: SLOT_LEASE_MS
    }
  }

  /** Releases attempts that the host no longer lists as running; returns the attempts that it still owns. */
  private _releaseUnlisted (hostId: string, listedAttemptIds: Set<string>): Set<string> {
    const owned = new Set<string>()
    for (const state of Object.values(this._state.jobs)) {
      releaseWhere(state, attempt => attempt.hostId === hostId && !listedAttemptIds.has(attempt.attemptId), SampleDropReason.Abandoned)
      for (const slot of allStates(state)) {
        for (const attempt of slot.attempts) if (attempt.hostId === hostId) owned.add(attempt.attemptId)
      }
    }
    return owned
  }

  private _heldBy (hostId: string): HeldSample[] {
    const held: HeldSample[] = []
    for (const state of Object.values(this._state.jobs)) {
      for (const { slot, state: { committed } } of allSlots(state)) {
        if (!committed?.holderHostIds.includes(hostId)) continue
        held.push({ ...slot, attemptId: committed.attemptId, holderHostIds: committed.holderHostIds })
      }
    }
    return held
  }

  private _outlooks (): JobStatus[] {
    return Object.values(this._state.jobs).flatMap(state => {
      const spec = this._specOf(state.job)
      return spec ? [outlookOf(state, spec)] : []
    })
  }
}

function openSession (state: JobState, sessionId: string): RolloutResult {
  // A resent command must not fence the session that it opened.
  if (state.sessionId !== sessionId) {
    state.sessionId = sessionId
    state.sessionNumber++
  }
  return { kind: 'sessionOpened', sessionNumber: state.sessionNumber, confirmedPosition: state.confirmedPosition }
}

/** The first complete attempt fills the slot, if it is within the staleness bound of the trainer's current version. */
function commitSample (state: JobState, spec: RolloutJobSpec, command: RolloutCommandOf<RolloutCommandKind.CommitSample>): RolloutResult {
  const slot = findSlot(state, command)
  if (!slot) return { kind: 'sampleRefused', reason: SampleDropReason.UnknownSlot }
  if (slot.committed?.attemptId === command.attemptId) return { kind: 'sampleCommitted' }
  if (!slot.attempts.some(({ attemptId }) => attemptId === command.attemptId)) {
    state.counts.lateDropped++
    return { kind: 'sampleRefused', reason: SampleDropReason.Late }
  }
  const group = state.steps.find(({ step }) => step === command.step)?.groups[command.group]
  if (group) recordLength(state, group, tokensCountOf(command.versions))
  if (oldestVersion(command.versions) < oldestDeliverableVersion(state, spec)) {
    slot.attempts = slot.attempts.filter(({ attemptId }) => attemptId !== command.attemptId)
    state.counts.staleDropped++
    if (slot.attempts.length === 0) state.counts.rerun++
    return { kind: 'sampleRefused', reason: SampleDropReason.Stale }
  }
  slot.attempts = []
  slot.committed = { attemptId: command.attemptId, holderHostIds: command.holderHostIds, versions: command.versions }
  const isStepComplete = command.step === state.step && group?.slots.every(({ committed, isConfirmed }) => isConfirmed || committed !== undefined)
  return { kind: 'sampleCommitted', pullHostId: isStepComplete ? state.pullHostId : undefined }
}

function dropSample (state: JobState, command: RolloutCommandOf<RolloutCommandKind.DropSample>): RolloutResult {
  const slot = findSlot(state, command)
  if (slot?.committed?.attemptId === command.attemptId) dropCommitted(state, slot, command.reason)
  return { kind: 'dropped' }
}

function moveSample (state: JobState, command: RolloutCommandOf<RolloutCommandKind.MoveSample>): RolloutResult {
  const committed = findSlot(state, command)?.committed
  if (committed?.attemptId === command.attemptId) committed.holderHostIds = command.holderHostIds
  return { kind: 'moved' }
}

/** The newest version wins; an older one changes nothing. */
function publishWeights (state: JobState, spec: RolloutJobSpec, command: RolloutCommandOf<RolloutCommandKind.PublishWeights>): RolloutResult {
  if (command.sessionNumber !== state.sessionNumber) return { kind: 'sessionFenced', sessionNumber: state.sessionNumber }
  state.publishedVersion = Math.max(state.publishedVersion, command.weightVersion)
  state.trainerVersion = Math.max(state.trainerVersion, command.weightVersion)
  dropStaleUnoffered(state, spec)
  return { kind: 'published', weightVersion: state.publishedVersion }
}

function progressOf (state: JobState): RolloutProgress {
  const current = state.steps[0]
  const slots = current ? statesOf(current) : []
  return {
    job: state.job,
    step: Math.max(0, state.step),
    trainerVersion: state.trainerVersion,
    publishedVersion: state.publishedVersion,
    sessionNumber: state.sessionNumber,
    confirmedPosition: state.confirmedPosition,
    slotsCount: slots.length,
    waitingCount: slots.filter(isWaiting).length,
    runningCount: slots.filter(({ attempts }) => attempts.length > 0).length,
    committedCount: slots.filter(({ committed, isConfirmed }) => committed !== undefined && !isConfirmed).length,
    deliveredCount: slots.filter(({ isConfirmed }) => isConfirmed).length,
    staleDroppedCount: state.counts.staleDropped,
    rerunCount: state.counts.rerun
  }
}
