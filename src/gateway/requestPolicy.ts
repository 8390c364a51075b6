/**
 * Decides whether a request that no endpoint has accepted keeps waiting or is
 * refused, and when a second try is started beside the first (hedging). Both
 * decisions use values measured at the service itself: the duration of its
 * requests and the number of waiting requests. Hopeless requests are refused early: a
 * refused caller can go to another host or come back later, whereas a caller that
 * waits and is refused in the end has lost that time. Pure functions.
 */
import type { RandomSource } from '../utils/randomSource.js'

/** Estimate of how soon a service can serve a request, based on the answers of its endpoints. */
export interface ServiceForecast {
  /** Time until an endpoint has a free slot; 0 when an endpoint has a free slot now. */
  waitMs: number
  /** Typical duration of a request at an endpoint. */
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

/** A request that has waited longer than this multiple of the forecast no longer relies on it. */
const MAX_FORECAST_ERROR_FACTOR = 2
/** Endpoints that this host does not know yet are discovered within this time: a host calls the control hosts twice a second. */
const DISCOVERY_TIME_MS = 500
/** Lower bound of the retry delay: a free slot goes to the requests that are already waiting. */
const MIN_RETRY_AFTER_MS = 20

/** Whether a request keeps waiting for an endpoint. A request that cannot be served in time is refused at once. */
export function waitOrRefuse ({ forecast, waitedMs, remainingMs }: UndispatchedRequest, random: RandomSource): WaitDecision {
  if (!forecast) return { kind: 'refuse', retryAfterMs: DISCOVERY_TIME_MS }
  const { waitMs, typicalMs } = forecast
  const isTooLate = waitMs + typicalMs > remainingMs
  const isForecastWrong = waitedMs > MAX_FORECAST_ERROR_FACTOR * Math.max(waitMs, MIN_RETRY_AFTER_MS)
  if (!isTooLate && !isForecastWrong) return { kind: 'wait' }
  return { kind: 'refuse', retryAfterMs: jitteredRetryMs(Math.max(waitMs, waitedMs), random) }
}

/** Retry delay: not before a slot should be free, with jitter of up to the same time again, so that callers do not return all at once. */
function jitteredRetryMs (waitMs: number, random: RandomSource): number {
  return Math.max(MIN_RETRY_AFTER_MS, waitMs) * (1 + random.real())
}

/** Minimum number of durations for a meaningful quantile. */
const MIN_DURATIONS_COUNT = 20
/** A second try is started once this share of requests would have been answered. */
const HEDGE_QUANTILE = 0.95
/** For exponentially distributed durations, this multiple of the mean is the same quantile. */
const HEDGE_MEAN_MULTIPLE = 3

/** A second try begins early beside one at an endpoint that reports at least this slowdown. */
const HEDGED_SLOWDOWN_FACTOR = 1.5

export interface OpenTry {
  /** Durations of recent answers of the service, the shortest first. */
  sortedDurationsMs: readonly number[]
  /** Typical duration of a request at an endpoint. */
  typicalMs: number
  /** Expected duration of a second try; undefined when no other endpoint is known. */
  elsewhereMs: number | undefined
}

/**
 * Time after which a try counts as late, given the usual durations of its service.
 * While all other endpoints are slow or busy as well, a second try would not end
 * sooner and would only add to their load, so that the first gets as much longer.
 */
export function hedgeDelayMs ({ sortedDurationsMs, typicalMs, elsewhereMs = typicalMs }: OpenTry): number {
  const isMeaningful = sortedDurationsMs.length >= MIN_DURATIONS_COUNT
  const quantileMs = isMeaningful ? sortedDurationsMs[Math.floor(HEDGE_QUANTILE * sortedDurationsMs.length)] : undefined
  return (quantileMs ?? HEDGE_MEAN_MULTIPLE * typicalMs) * Math.max(1, elsewhereMs / typicalMs)
}

export interface RunningTry extends OpenTry {
  elapsedMs: number
  /** How long work takes now at the endpoint that has the try, relative to the usual time. */
  slowdownFactor: number
}

/** Whether the open try takes unusually long, or a second one would most likely end before it, since its endpoint reports a slowdown meanwhile. */
export function isTryLate (open: RunningTry): boolean {
  const { typicalMs, elsewhereMs, elapsedMs, slowdownFactor } = open
  if (elapsedMs >= hedgeDelayMs(open)) return true
  if (slowdownFactor < HEDGED_SLOWDOWN_FACTOR || elsewhereMs === undefined) return false
  return typicalMs * slowdownFactor - elapsedMs > elsewhereMs
}
