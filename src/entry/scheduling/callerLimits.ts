/**
 * Limits per caller: requests at once and requests a second, as the
 * CallerLimit resource of the caller's name says. Callers without one are
 * bounded only by the queues.
 */
import type { ConfigurationView } from '../../controlClient/controlClient.js'
import { ResourceKind, type CallerLimitSpec } from '../../protocol/resources.js'
import type { Clock } from '../../utils/clock.js'
import { invariant } from '../../utils/errors.js'

/** Idle callers are forgotten after so many others came. */
const MAX_IDLE_CALLERS = 4096

interface CallerState {
  /** Waiting or running. */
  currentCount: number
  /** Requests that may come at once; refilled at the rate of the limit. */
  tokens: number
  refilledAtMs: number
}

export type LimitOutcome =
  | { kind: 'admitted' }
  | { kind: 'limited', message: string, retryAfterMs: number }

/** When the concurrency limit is hit, no instant is known at which it ends. */
const CONCURRENCY_RETRY_MS = 500

export class CallerLimits {
  private readonly _clock: Clock
  private readonly _configuration: ConfigurationView
  private readonly _callers = new Map<string, CallerState>()

  constructor (clock: Clock, configuration: ConfigurationView) {
    this._clock = clock
    this._configuration = configuration
  }

  /** Counts the request in when admitted; `leave` must follow. A retry counts only as one at once. */
  enter (callerName: string, isRetry: boolean): LimitOutcome {
    const limit = this._configuration.get(ResourceKind.CallerLimit, callerName)?.spec
    const state = this._stateOf(callerName, limit)
    if (limit) {
      this._refill(state, limit)
      const refusal = concurrencyRefusal(callerName, state, limit) ?? (isRetry ? undefined : rateRefusal(callerName, state, limit))
      if (refusal) return refusal
      if (!isRetry) state.tokens -= 1
    }
    state.currentCount += 1
    return { kind: 'admitted' }
  }

  leave (callerName: string): void {
    const state = this._callers.get(callerName)
    invariant(state && state.currentCount > 0, `caller ${callerName} left more often than it came`)
    state.currentCount -= 1
    if (state.currentCount === 0 && this._callers.size > MAX_IDLE_CALLERS) this._callers.delete(callerName)
  }

  currentCount (callerName: string): number {
    return this._callers.get(callerName)?.currentCount ?? 0
  }

  private _stateOf (callerName: string, limit: CallerLimitSpec | undefined): CallerState {
    const known = this._callers.get(callerName)
    if (known) return known
    const state = { currentCount: 0, tokens: burstOf(limit), refilledAtMs: this._clock.nowMs() }
    this._callers.set(callerName, state)
    return state
  }

  private _refill (state: CallerState, limit: CallerLimitSpec): void {
    const nowMs = this._clock.nowMs()
    const gained = (nowMs - state.refilledAtMs) / 1000 * limit.requestsPerSecond
    state.tokens = Math.min(burstOf(limit), state.tokens + gained)
    state.refilledAtMs = nowMs
  }
}

function burstOf (limit: CallerLimitSpec | undefined): number {
  return Math.max(1, limit?.requestsPerSecond ?? 1)
}

function concurrencyRefusal (callerName: string, state: CallerState, limit: CallerLimitSpec): LimitOutcome | undefined {
  if (state.currentCount < limit.maxConcurrentCount) return undefined
  const message = `caller ${callerName} has ${state.currentCount} requests at once, its limit`
  return { kind: 'limited', message, retryAfterMs: CONCURRENCY_RETRY_MS }
}

function rateRefusal (callerName: string, state: CallerState, limit: CallerLimitSpec): LimitOutcome | undefined {
  if (state.tokens >= 1) return undefined
  const message = `caller ${callerName} sends more than ${limit.requestsPerSecond} requests a second`
  return { kind: 'limited', message, retryAfterMs: (1 - state.tokens) / limit.requestsPerSecond * 1000 }
}
