/**
 * Chooses the slots that a host gets: first those that block the trainer, then
 * those with the longest expected samples, so that a long sample does not start
 * last, then slots of later steps whose samples will still be within the staleness
 * bound at delivery.
 */
import type { RolloutJobSpec } from '../../../protocol/resources.js'
import type { JobStatus, LeasedSlot, SlotRequest } from '../../../protocol/rolloutCommands.js'
import type { Forecast } from './forecast.js'
import { isWaiting, openStep, slotsOf, statesOf, type JobState, type SlotEntry, type StepState } from './jobState.js'

/** Opens the current step and the `startAheadSteps` steps after it. */
export function openSteps (state: JobState, spec: RolloutJobSpec): void {
  if (state.step < 0) return
  const lastStep = state.step + spec.startAheadSteps
  let next = (state.steps.at(-1)?.step ?? state.step - 1) + 1
  for (; next <= lastStep; next++) state.steps.push(openStep(next, spec))
}

/** The expected version of the trainer when it pulls a step. */
function forecastTrainerVersion (state: JobState, step: number): number {
  return state.trainerVersion + (step - state.step) * state.versionsPerStep
}

/**
 * How many versions old weights may be when a sample starts. The setting
 * `stalenessWeight` reduces the bound: at 0 the whole bound is used to keep engines
 * busy, at 1 only weights that will be current at delivery are used.
 */
function allowedVersions (spec: RolloutJobSpec): number {
  return Math.round(spec.stalenessBoundVersions * (1 - spec.stalenessWeight))
}

/** The oldest weight version with which a sample of the step may be started. */
function minWeightVersion (state: JobState, spec: RolloutJobSpec, step: number): number {
  return forecastTrainerVersion(state, step) - allowedVersions(spec)
}

/** Whether weights that the step requires have been published, so that an engine can have them. */
function mayStart (state: JobState, spec: RolloutJobSpec, step: number): boolean {
  return step === state.step || minWeightVersion(state, spec, step) <= state.publishedVersion
}

function waitingSlots (state: JobState, step: StepState, forecast: Forecast): SlotEntry[] {
  if (!statesOf(step).some(isWaiting)) return []
  const waiting = [...slotsOf(state.job, step)].filter(({ state }) => isWaiting(state))
  return waiting.sort((a, b) => compareUrgency(state, forecast, a, b))
}

function compareUrgency (state: JobState, forecast: Forecast, a: SlotEntry, b: SlotEntry): number {
  const aPosition = a.state.position ?? Number.POSITIVE_INFINITY
  const bPosition = b.state.position ?? Number.POSITIVE_INFINITY
  if (aPosition !== bPosition) return aPosition - bPosition
  return forecast(state, b.group) - forecast(state, a.group)
}

export interface Lessee {
  hostId: string
  /** Index of the log entry, which makes attempt ids unique. */
  logIndex: number
  forecast: Forecast
}

export function leaseSlots (state: JobState, spec: RolloutJobSpec, wanted: SlotRequest, lessee: Lessee): LeasedSlot[] {
  if (spec.paused) return []
  const leased: LeasedSlot[] = []
  let aheadCount = wanted.maxAheadCount
  for (const step of state.steps) {
    if (!mayStart(state, spec, step.step)) break
    const isAhead = step.step !== state.step
    for (const entry of waitingSlots(state, step, lessee.forecast)) {
      if (leased.length >= wanted.maxSlotsCount || (isAhead && aheadCount <= 0)) break
      if (isAhead) aheadCount--
      leased.push(startAttempt(state, spec, entry, lessee, leased.length))
    }
  }
  return leased
}

function startAttempt (state: JobState, spec: RolloutJobSpec, entry: SlotEntry, lessee: Lessee, ordinal: number): LeasedSlot {
  const { slot, group, state: slotState } = entry
  const attemptId = `${lessee.hostId}.${state.job}.${lessee.logIndex}.${ordinal}`
  const earlierAttemptsCount = slotState.attemptsCount
  slotState.attempts.push({ attemptId, hostId: lessee.hostId })
  slotState.attemptsCount++
  return {
    ...slot,
    attemptId,
    prompt: group.prompt,
    expectedTokensCount: lessee.forecast(state, group) || spec.maxTokensCount,
    minWeightVersion: minWeightVersion(state, spec, slot.step),
    earlierAttemptsCount,
    isAhead: slot.step !== state.step
  }
}

export function outlookOf (state: JobState, spec: RolloutJobSpec): JobStatus {
  const count = (step: StepState): number => statesOf(step).filter(isWaiting).length
  const startable = spec.paused ? [] : state.steps.filter(({ step }) => mayStart(state, spec, step))
  const current = startable.filter(({ step }) => step === state.step)
  const ahead = startable.filter(({ step }) => step !== state.step)
  return {
    job: state.job,
    step: state.step,
    trainerVersion: state.trainerVersion,
    publishedVersion: state.publishedVersion,
    waitingCount: current.reduce((sum, step) => sum + count(step), 0),
    waitingAheadCount: ahead.reduce((sum, step) => sum + count(step), 0)
  }
}
