/**
 * Which slots a host gets: those that hold the trainer up first, then the
 * likely-long ones, so that a long sample never starts last; then slots of
 * later steps as far as the staleness bound will let them be delivered.
 */
import type { RolloutJobSpec } from '../../../protocol/resources.js'
import type { JobOutlook, LeasedSlot, WantedSlots } from '../../../protocol/rolloutCommands.js'
import type { Forecast } from './forecast.js'
import { isWaiting, openStep, slotsOf, statesOf, type JobState, type PlacedSlot, type StepState } from './jobState.js'

/** Opens the current step, and later ones as far as the job starts ahead. */
export function openSteps (state: JobState, spec: RolloutJobSpec): void {
  if (state.step < 0) return
  const lastStep = state.step + spec.startAheadSteps
  let next = (state.steps.at(-1)?.step ?? state.step - 1) + 1
  for (; next <= lastStep; next++) state.steps.push(openStep(next, spec))
}

/** The trainer's version when it will pull a step, as far as can be told. */
function forecastTrainerVersion (state: JobState, step: number): number {
  return state.trainerVersion + (step - state.step) * state.versionsPerStep
}

/**
 * How old weights may be when a sample starts. The knob `stalenessWeight`
 * takes its share of the bound away: at 0 the whole bound is used to keep
 * engines busy, at 1 only weights that will be fresh at delivery are used.
 */
function allowedVersions (spec: RolloutJobSpec): number {
  return Math.round(spec.stalenessBoundVersions * (1 - spec.stalenessWeight))
}

/** The oldest weights with which a sample of the step may be started. */
function minWeightVersion (state: JobState, spec: RolloutJobSpec, step: number): number {
  return forecastTrainerVersion(state, step) - allowedVersions(spec)
}

/** Whether any engine can have the weights that the step needs. */
function mayStart (state: JobState, spec: RolloutJobSpec, step: number): boolean {
  return step === state.step || minWeightVersion(state, spec, step) <= state.publishedVersion
}

function waitingSlots (state: JobState, step: StepState, forecast: Forecast): PlacedSlot[] {
  if (!statesOf(step).some(isWaiting)) return []
  const waiting = [...slotsOf(state.job, step)].filter(({ state }) => isWaiting(state))
  return waiting.sort((a, b) => compareUrgency(state, forecast, a, b))
}

function compareUrgency (state: JobState, forecast: Forecast, a: PlacedSlot, b: PlacedSlot): number {
  const aPosition = a.state.position ?? Number.POSITIVE_INFINITY
  const bPosition = b.state.position ?? Number.POSITIVE_INFINITY
  if (aPosition !== bPosition) return aPosition - bPosition
  return forecast(state, b.group) - forecast(state, a.group)
}

export interface Lessee {
  hostId: string
  /** Index of the log entry: makes attempt ids unique. */
  logIndex: number
  forecast: Forecast
}

export function leaseSlots (state: JobState, spec: RolloutJobSpec, wanted: WantedSlots, lessee: Lessee): LeasedSlot[] {
  if (spec.paused) return []
  const leased: LeasedSlot[] = []
  let aheadCount = wanted.maxAheadCount
  for (const step of state.steps) {
    if (!mayStart(state, spec, step.step)) break
    const isAhead = step.step !== state.step
    for (const placed of waitingSlots(state, step, lessee.forecast)) {
      if (leased.length >= wanted.maxSlotsCount || (isAhead && aheadCount <= 0)) break
      if (isAhead) aheadCount--
      leased.push(startAttempt(state, spec, placed, lessee, leased.length))
    }
  }
  return leased
}

function startAttempt (state: JobState, spec: RolloutJobSpec, placed: PlacedSlot, lessee: Lessee, at: number): LeasedSlot {
  const { slot, group, state: slotState } = placed
  const attemptId = `${lessee.hostId}.${state.job}.${lessee.logIndex}.${at}`
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

export function outlookOf (state: JobState, spec: RolloutJobSpec): JobOutlook {
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
