/**
 * The state of one rollout job in the ledger, as plain data that can be written to
 * a snapshot directly, and functions that read it.
 */
import type { RolloutJobSpec } from '../../../protocol/resources.js'
import type { Slot } from '../../../protocol/rolloutCommands.js'
import type { VersionSpan } from '../../../protocol/trainers.js'

export interface AttemptState {
  attemptId: string
  hostId: string
}

export interface CommittedState {
  attemptId: string
  holderHostIds: string[]
  versions: VersionSpan[]
}

export interface SlotState {
  attempts: AttemptState[]
  attemptsCount: number
  committed?: CommittedState
  /** Set when a sample of the slot is first offered; kept when the slot has to be run again. */
  position?: number
  /** The trainer has confirmed that it received the sample. */
  isConfirmed: boolean
}

export interface GroupState {
  prompt: string
  promptIndex: number
  slots: SlotState[]
}

/** The groups and slots of a step are fixed when it opens; later changes of the job do not affect them. */
export interface StepState {
  step: number
  groups: GroupState[]
}

export interface JobCounts {
  staleDropped: number
  lateDropped: number
  contentLost: number
  hostLost: number
  rerun: number
  delivered: number
}

export interface JobState {
  job: string
  sessionNumber: number
  sessionId: string
  /** The trainer's step; -1 before the first pull. */
  step: number
  trainerVersion: number
  publishedVersion: number
  /** Increase of the trainer's version per step, measured at the last change of step. */
  versionsPerStep: number
  versionAtStepStart: number
  confirmedPosition: number
  offeredPosition: number
  /** Open steps in ascending order, the current one first. */
  steps: StepState[]
  /** The host where the trainer last pulled. */
  pullHostId?: string
  counts: JobCounts
  /** Moving mean of the sample length in tokens, by prompt index. */
  forecastTokens: Record<string, number>
  meanTokens: number
}

export function newJobState (job: string): JobState {
  return {
    job,
    sessionNumber: 0,
    sessionId: '',
    step: -1,
    trainerVersion: 0,
    publishedVersion: 0,
    versionsPerStep: 1,
    versionAtStepStart: 0,
    confirmedPosition: 0,
    offeredPosition: 0,
    steps: [],
    counts: { staleDropped: 0, lateDropped: 0, contentLost: 0, hostLost: 0, rerun: 0, delivered: 0 },
    forecastTokens: {},
    meanTokens: 0
  }
}

export function openStep (step: number, spec: RolloutJobSpec): StepState {
  const groups: GroupState[] = []
  for (let group = 0; group < spec.groupsPerStepCount; group++) {
    const promptIndex = (step * spec.groupsPerStepCount + group) % spec.prompts.length
    groups.push({ prompt: spec.prompts[promptIndex] ?? '', promptIndex, slots: newSlots(spec.groupSizeCount) })
  }
  return { step, groups }
}

function newSlots (count: number): SlotState[] {
  return Array.from({ length: count }, () => ({ attempts: [], attemptsCount: 0, isConfirmed: false }))
}

export function findSlot (state: JobState, slot: Slot): SlotState | undefined {
  const step = state.steps.find(({ step }) => step === slot.step)
  return step?.groups[slot.group]?.slots[slot.index]
}

export interface SlotEntry {
  slot: Slot
  group: GroupState
  state: SlotState
}

export function * slotsOf (job: string, step: StepState): Generator<SlotEntry> {
  for (const [group, groupState] of step.groups.entries()) {
    for (const [index, state] of groupState.slots.entries()) {
      yield { slot: { job, step: step.step, group, index }, group: groupState, state }
    }
  }
}

export function * allSlots (state: JobState): Generator<SlotEntry> {
  for (const step of state.steps) yield * slotsOf(state.job, step)
}

/** Cached slot states; the slots of a step do not change while it is open. */
const statesByStep = new WeakMap<StepState, SlotState[]>()

/** The slot states of a step, for iterations that do not need the slot's identity. */
export function statesOf (step: StepState): SlotState[] {
  const known = statesByStep.get(step)
  if (known) return known
  const states = step.groups.flatMap(({ slots }) => slots)
  statesByStep.set(step, states)
  return states
}

export function * allStates (state: JobState): Generator<SlotState> {
  for (const step of state.steps) yield * statesOf(step)
}

/** The slot has no running attempt and no sample. */
export function isWaiting (slot: SlotState): boolean {
  return !slot.isConfirmed && slot.committed === undefined && slot.attempts.length === 0
}

export function oldestVersion (versions: VersionSpan[]): number {
  return versions.reduce((oldest, span) => Math.min(oldest, span.weightVersion), Number.POSITIVE_INFINITY)
}

export function tokensCountOf (versions: VersionSpan[]): number {
  return versions.reduce((count, span) => Math.max(count, span.toToken), 0)
}

/** The oldest weight version that a sample may contain to be delivered now. */
export function oldestDeliverableVersion (state: JobState, spec: RolloutJobSpec): number {
  return state.trainerVersion - spec.stalenessBoundVersions
}
