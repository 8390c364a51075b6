/**
 * Limits the concurrent requests and the request rate of each caller, as
 * configured by the CallerLimit resource with the caller's name. Callers
 * without such a resource are bounded only by the queues.
 */
import type { ConfigurationView } from '../../controlClient/controlClient.js'
import { ResourceKind, type CallerLimitSpec } from '../../protocol/resources.js'
import type { Clock } from '../../utils/clock.js'
import { invariant } from '../../utils/errors.js'

/** When more callers than this are tracked, a caller's state is dropped as soon as it is idle. */
const MAX_IDLE_CALLERS = 4096

interface CallerState {
  /** Requests that are queued or running. */
  openCount: number
  /** Token bucket: requests that are admitted without delay, refilled at `requestsPerSecond`. */
  tokens: number
  refilledAtMs: number
}

export type LimitOutcome =
  | { kind: 'admitted' }
  | { kind: 'limited', message: string, retryAfterMs: number }

/** Retry delay at the concurrency limit, where the time until a request finishes is unknown. */
const CONCURRENCY_RETRY_AFTER_MS = 500

export class CallerLimits {
  private readonly _clock: Clock
  private readonly _configuration: ConfigurationView
  private readonly _callers = new Map<string, CallerState>()

  constructor (clock: Clock, configuration: ConfigurationView) {
    this._clock = clock
    this._configuration = configuration
  }

  /**
   * Counts the request if it is admitted; the caller must then call `leave` once.
   * A retry counts towards the concurrency limit, but not towards the rate.
   */
  enter (callerName: string, isRetry: boolean): LimitOutcome {
    const limit = this._configuration.get(ResourceKind.CallerLimit, callerName)?.spec
    const state = this._stateOf(callerName, limit)
    if (limit) {
      this._refill(state, limit)
      const refusal = concurrencyRefusal(callerName, state, limit) ?? (isRetry ? undefined : rateRefusal(callerName, state, limit))
      if (refusal) return refusal
      if (!isRetry) state.tokens -= 1
    }
    state.openCount += 1
    return { kind: 'admitted' }
  }

  leave (callerName: string): void {
    const state = this._callers.get(callerName)
    invariant(state && state.openCount > 0, `caller ${callerName} left more often than it entered`)
    state.openCount -= 1
    if (state.openCount === 0 && this._callers.size > MAX_IDLE_CALLERS) this._callers.delete(callerName)
  }

  openCount (callerName: string): number {
    return this._callers.get(callerName)?.openCount ?? 0
  }

  private _stateOf (callerName: string, limit: CallerLimitSpec | undefined): CallerState {
    const known = this._callers.get(callerName)
    if (known) return known
    const state = { openCount: 0, tokens: burstOf(limit), refilledAtMs: this._clock.nowMs() }
    this._callers.set(callerName, state)
    return state
  }

  private _refill (state: CallerState, limit: CallerLimitSpec): void {
    const nowMs = this._clock.nowMs()
    const refilledTokens = (nowMs - state.refilledAtMs) / 1000 * limit.requestsPerSecond
    state.tokens = Math.min(burstOf(limit), state.tokens + refilledTokens)
    state.refilledAtMs = nowMs
  }
}

function burstOf (limit: CallerLimitSpec | undefined): number {
  return Math.max(1, limit?.requestsPerSecond ?? 1)
}

function concurrencyRefusal (callerName: string, state: CallerState, limit: CallerLimitSpec): LimitOutcome | undefined {
  if (state.openCount < limit.maxConcurrentCount) return undefined
  const message = `caller ${callerName} has ${state.openCount} concurrent requests, which is its limit`
  return { kind: 'limited', message, retryAfterMs: CONCURRENCY_RETRY_AFTER_MS }
}

function rateRefusal (callerName: string, state: CallerState, limit: CallerLimitSpec): LimitOutcome | undefined {
  if (state.tokens >= 1) return undefined
  const message = `caller ${callerName} exceeds its limit of ${limit.requestsPerSecond} requests per second`
  return { kind: 'limited', message, retryAfterMs: (1 - state.tokens) / limit.requestsPerSecond * 1000 }
}
