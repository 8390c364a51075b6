/**
 * What becomes of a request that no endpoint has taken, and when a second try
 * starts beside the first. Every figure is measured at the service itself: how
 * long its requests take and how many wait there. A caller that is refused can
 * turn to another host or come back when there is room; one that is held and
 * refused in the end has lost its time. Pure functions.
 */
import type { RandomSource } from '../utils/randomSource.js'

/** What a service can do for a request now, as far as its endpoints' answers tell. */
export interface ServiceForecast {
  /** Time until an endpoint has room; 0 when one has. */
  waitMs: number
  /** Time that a request takes at an endpoint. */
  typicalMs: number
}

export interface UndispatchedRequest {
  /** Undefined when no endpoint of the service is known. */
  forecast: ServiceForecast | undefined
  waitedMs: number
  remainingMs: number
}

export type WaitDecision =
  | { kind: 'wait' }
  | { kind: 'refuse', retryAfterMs: number }

/** A forecast that was wrong by more than this is not trusted any longer. */
const MAX_FORECAST_ERROR_FACTOR = 2
/** Endpoints that are unknown here are heard of within this time: a host asks the control hosts twice a second. */
const DISCOVERY_TIME_MS = 500
/** Callers do not come back sooner: a free slot is taken by those that wait already. */
const MIN_RETRY_AFTER_MS = 20

/** Whether to go on looking for an endpoint. What cannot be served in time is refused at once. */
export function waitOrRefuse ({ forecast, waitedMs, remainingMs }: UndispatchedRequest, random: RandomSource): WaitDecision {
  if (!forecast) return { kind: 'refuse', retryAfterMs: DISCOVERY_TIME_MS }
  const { waitMs, typicalMs } = forecast
  const isTooLate = waitMs + typicalMs > remainingMs
  const isForecastWrong = waitedMs > MAX_FORECAST_ERROR_FACTOR * Math.max(waitMs, MIN_RETRY_AFTER_MS)
  if (!isTooLate && !isForecastWrong) return { kind: 'wait' }
  return { kind: 'refuse', retryAfterMs: jitteredRetryMs(Math.max(waitMs, waitedMs), random) }
}

/** Not before there should be room, and spread over as long again, so that callers do not return at one moment. */
function jitteredRetryMs (waitMs: number, random: RandomSource): number {
  return Math.max(MIN_RETRY_AFTER_MS, waitMs) * (1 + random.real())
}

/** Durations that are needed before a quantile of them says anything. */
const MIN_DURATIONS_COUNT = 20
/** A second try starts when this share of requests would have been answered. */
const HEDGE_QUANTILE = 0.95
/** So many means is the same quantile of durations that decay exponentially. */
const HEDGE_MEAN_MULTIPLE = 3

/** Time after which a try is late by what its service usually takes. */
export function hedgeDelayMs (sortedDurationsMs: readonly number[], typicalMs: number): number {
  if (sortedDurationsMs.length < MIN_DURATIONS_COUNT) return HEDGE_MEAN_MULTIPLE * typicalMs
  return sortedDurationsMs[Math.floor(HEDGE_QUANTILE * sortedDurationsMs.length)] ?? HEDGE_MEAN_MULTIPLE * typicalMs
}
