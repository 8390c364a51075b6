/**
 * Forecasts the length of a sample in tokens, from earlier samples of the same
 * prompt. The forecast is part of the replicated state, so that every host orders
 * slots in the same way.
 */
import type { GroupState, JobState } from './jobState.js'

/** Weight of the newest sample in the moving means. */
const NEWEST_WEIGHT = 0.3

/** Limit of prompts with their own forecast; further prompts use the mean of the job. */
const MAX_PROMPTS = 4096

export function recordLength (state: JobState, group: GroupState, tokensCount: number): void {
  state.meanTokens = blend(state.meanTokens, tokensCount)
  const known = state.forecastTokens[group.promptIndex]
  if (known === undefined && Object.keys(state.forecastTokens).length >= MAX_PROMPTS) return
  state.forecastTokens[group.promptIndex] = blend(known ?? 0, tokensCount)
}

/** Expected number of tokens in a sample of the group; 0 if nothing is known. */
export type Forecast = (state: JobState, group: GroupState) => number

export function forecastLength (state: JobState, group: GroupState): number {
  return state.forecastTokens[group.promptIndex] ?? state.meanTokens
}

function blend (mean: number, newest: number): number {
  return mean === 0 ? newest : mean + NEWEST_WEIGHT * (newest - mean)
}
