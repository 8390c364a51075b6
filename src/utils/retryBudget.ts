/**
 * The retry budget of a pool. Each first attempt deposits a tenth of a retry, so
 * that retries add at most a tenth to the load. A small constant allowance lets a
 * pool with little traffic retry at all.
 */
import type { Clock } from './clock.js'

const DEPOSIT_PER_FIRST_ATTEMPT = 0.1
const ALLOWANCE_PER_SECOND = 0.5
const MAX_BALANCE = 50
const INITIAL_BALANCE = 10

export class RetryBudget {
  private readonly _clock: Clock
  private _balance = INITIAL_BALANCE
  private _updatedAtMs: number

  constructor (clock: Clock) {
    this._clock = clock
    this._updatedAtMs = clock.nowMs()
  }

  get balance (): number {
    return this._balance
  }

  depositFirstAttempt (): void {
    this._add(DEPOSIT_PER_FIRST_ATTEMPT)
  }

  /** Withdraws one retry; false if the budget is exhausted. */
  tryWithdraw (): boolean {
    const nowMs = this._clock.nowMs()
    this._add((nowMs - this._updatedAtMs) / 1000 * ALLOWANCE_PER_SECOND)
    this._updatedAtMs = nowMs
    if (this._balance < 1) return false
    this._balance -= 1
    return true
  }

  private _add (amount: number): void {
    this._balance = Math.min(MAX_BALANCE, this._balance + amount)
  }
}
