/**
 * A deadline and a call log that are passed down the calls made for one request.
 * If the request is refused, the refusal contains the log of what was tried.
 */
import type { Clock } from './clock.js'
import type { Scope } from './scope.js'

const MAX_LOG_LINES = 32

export type Raced<T> = { kind: 'done', value: T } | { kind: 'deadlinePassed' }

const unbounded = (): number => Number.POSITIVE_INFINITY

export class Progress {
  readonly clock: Clock
  readonly scope: Scope
  private readonly _deadlineMs: number
  private readonly _latestMs: () => number
  private readonly _log: string[] = []

  /** @param latestMs a bound on the deadline that may come nearer while the request runs, as when its host is asked to stop */
  constructor (clock: Clock, scope: Scope, deadlineMs: number, latestMs = unbounded) {
    this.clock = clock
    this.scope = scope
    this._deadlineMs = deadlineMs
    this._latestMs = latestMs
  }

  /** Point in time of the monotonic clock. */
  get deadlineMs (): number {
    return Math.min(this._deadlineMs, this._latestMs())
  }

  /** What was tried so far, oldest first. */
  get callLog (): readonly string[] {
    return this._log
  }

  log (line: string): void {
    if (this._log.length < MAX_LOG_LINES) this._log.push(line)
  }

  remainingMs (): number {
    return Math.max(0, this.deadlineMs - this.clock.nowMs())
  }

  isPastDeadline (): boolean {
    return this.clock.nowMs() >= this.deadlineMs
  }

  /** A progress with the same deadline in a narrower scope. */
  within (scope: Scope): Progress {
    return new Progress(this.clock, scope, this._deadlineMs, this._latestMs)
  }

  /** A progress with an earlier deadline, for one of several attempts. */
  withDeadline (deadlineMs: number): Progress {
    return new Progress(this.clock, this.scope, Math.min(this._deadlineMs, deadlineMs), this._latestMs)
  }

  /**
   * Waits for a promise until the deadline.
   * @throws ScopeClosedError when the scope closes first.
   */
  async race<T> (promise: Promise<T>): Promise<Raced<T>> {
    let cancel = (): void => {}
    const deadline = new Promise<Raced<T>>(resolve => {
      cancel = this.clock.callAt(this.deadlineMs, () => resolve({ kind: 'deadlinePassed' }))
    })
    try {
      const done = promise.then((value): Raced<T> => ({ kind: 'done', value }))
      return await this.scope.race(Promise.race([done, deadline]))
    } finally {
      cancel()
    }
  }
}
