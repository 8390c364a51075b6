/**
 * Delivery by position and cursor.
 *
 * A sample gets its position when it is first offered, not when it is committed,
 * so a group that becomes stale while it waits delays no other group, and positions have
 * no gaps. Samples that were offered but not yet confirmed are offered again,
 * unchanged, to a repeated pull on any host. Staleness is evaluated when the pull
 * is applied from the log.
 */
import type { RolloutJobSpec } from '../../../protocol/resources.js'
import { SampleDropReason, type CommittedSample, type RolloutCommandKind, type RolloutCommandOf, type RolloutResult, type RolloutResultOf } from '../../../protocol/rolloutCommands.js'
import { allStates, oldestDeliverableVersion, oldestVersion, slotsOf, statesOf, type GroupState, type JobState, type SlotEntry, type SlotState, type StepState } from './jobState.js'
import { openSteps } from './slotLeasing.js'

type Advance = RolloutCommandOf<RolloutCommandKind.Advance>

export function advance (state: JobState, spec: RolloutJobSpec, command: Advance): RolloutResult {
  if (command.sessionNumber !== state.sessionNumber) return { kind: 'sessionFenced', sessionNumber: state.sessionNumber }
  const refusal = checkCursor(state, command) ?? checkStep(state, command)
  if (refusal) return refusal
  confirm(state, command.heldPosition)
  state.trainerVersion = Math.max(state.trainerVersion, command.trainerVersion)
  moveToStep(state, command.step)
  openSteps(state, spec)
  dropStale(state, spec)
  state.pullHostId = command.hostId
  return offer(state, command)
}

function refuse (state: JobState, reason: RolloutResultOf<'pullRefused'>['reason']): RolloutResult {
  return { kind: 'pullRefused', reason, confirmedPosition: state.confirmedPosition, step: state.step }
}

function checkCursor (state: JobState, { heldPosition }: Advance): RolloutResult | undefined {
  if (heldPosition < state.confirmedPosition) return refuse(state, 'behindCursor')
  if (heldPosition > state.offeredPosition) return refuse(state, 'aheadOfCursor')
  return undefined
}

/** A trainer may go on from a step only when the trainer has every sample of that step. */
function checkStep (state: JobState, { step, heldPosition }: Advance): RolloutResult | undefined {
  if (step < state.step) return refuse(state, 'stepPassed')
  if (step === state.step || state.step < 0) return undefined
  const current = state.steps[0]
  const isHeld = (slot: SlotState): boolean => slot.isConfirmed || (slot.position !== undefined && slot.position <= heldPosition)
  const isStepHeld = current === undefined || statesOf(current).every(isHeld)
  return isStepHeld ? undefined : refuse(state, 'stepIncomplete')
}

function confirm (state: JobState, heldPosition: number): void {
  if (heldPosition <= state.confirmedPosition) return
  for (const slot of allStates(state)) {
    if (slot.isConfirmed || slot.position === undefined || slot.position > heldPosition) continue
    slot.isConfirmed = true
    slot.attempts = []
    delete slot.committed
    state.counts.delivered++
  }
  state.confirmedPosition = heldPosition
}

function moveToStep (state: JobState, step: number): void {
  if (step === state.step) return
  if (state.step >= 0) {
    const versionsAdvanced = state.trainerVersion - state.versionAtStepStart
    state.versionsPerStep = Math.round(versionsAdvanced / (step - state.step))
  }
  state.step = step
  state.versionAtStepStart = state.trainerVersion
  // Steps that the trainer has left are dropped, so that the ledger does not grow over time.
  state.steps = state.steps.filter(open => open.step >= step)
  if (state.steps[0] && state.steps[0].step !== step) state.steps = []
}

/** Drops samples that are too old for the trainer's current version. */
function dropStale (state: JobState, spec: RolloutJobSpec): void {
  dropStaleWhere(state, spec, () => true)
}

/**
 * Drops stale samples when weights are published. Offered samples stay, because the trainer may
 * already have them; the trainer's next pull reports this.
 */
export function dropStaleUnoffered (state: JobState, spec: RolloutJobSpec): void {
  dropStaleWhere(state, spec, slot => slot.position === undefined)
}

function dropStaleWhere (state: JobState, spec: RolloutJobSpec, isSelected: (slot: SlotState) => boolean): void {
  const oldest = oldestDeliverableVersion(state, spec)
  for (const slot of allStates(state)) {
    if (!slot.committed || !isSelected(slot)) continue
    if (oldestVersion(slot.committed.versions) < oldest) dropCommitted(state, slot, SampleDropReason.Stale)
  }
}

/** Drops a committed sample; its slot keeps its position, if any, and has to be filled again. */
export function dropCommitted (state: JobState, slot: SlotState, reason: SampleDropReason): void {
  delete slot.committed
  state.counts.rerun++
  if (reason === SampleDropReason.Stale) state.counts.staleDropped++
  else state.counts.contentLost++
}

function offer (state: JobState, command: Advance): RolloutResult {
  const current = state.steps[0]
  if (!current) return { kind: 'advanced', deliverable: [], stepComplete: true, trainerVersion: state.trainerVersion }
  const hasOffered = state.offeredPosition > command.heldPosition
  const entries = hasOffered ? offeredAgain(state, current) : offerCompleteGroups(state, current, command.maxSamplesCount)
  const offered = new Set(entries.map(({ state }) => state))
  const stepComplete = statesOf(current).every(slot => slot.isConfirmed || offered.has(slot))
  return { kind: 'advanced', deliverable: entries.map(toDeliverable), stepComplete, trainerVersion: state.trainerVersion }
}

/** Samples that were offered but are not confirmed, up to the first group that is incomplete now. */
function offeredAgain (state: JobState, step: StepState): SlotEntry[] {
  const offered = [...slotsOf(state.job, step)]
    .filter(({ state }) => !state.isConfirmed && state.position !== undefined)
    .sort((a, b) => (a.state.position ?? 0) - (b.state.position ?? 0))
  const firstIncomplete = offered.findIndex(({ group }) => !isComplete(group))
  return firstIncomplete < 0 ? offered : offered.slice(0, firstIncomplete)
}

function isComplete (group: GroupState): boolean {
  return group.slots.every(slot => slot.isConfirmed || slot.committed !== undefined)
}

function offerCompleteGroups (state: JobState, step: StepState, maxSamplesCount: number): SlotEntry[] {
  const offered: SlotEntry[] = []
  for (const [group, groupState] of step.groups.entries()) {
    const isNew = groupState.slots.every(slot => slot.committed !== undefined && slot.position === undefined)
    if (!isNew) continue
    const exceedsLimit = offered.length > 0 && offered.length + groupState.slots.length > maxSamplesCount
    if (exceedsLimit) break
    for (const [index, slot] of groupState.slots.entries()) {
      slot.position = ++state.offeredPosition
      offered.push({ slot: { job: state.job, step: step.step, group, index }, group: groupState, state: slot })
    }
  }
  return offered
}

function toDeliverable ({ slot, state }: SlotEntry): CommittedSample {
  const { attemptId = '', holderHostIds = [], versions = [] } = state.committed ?? {}
  return { ...slot, position: state.position ?? 0, attemptId, holderHostIds, versions }
}
