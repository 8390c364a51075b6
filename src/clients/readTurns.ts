/**
 * What is read of clients in one turn of the event loop. A client gets one slice of what
 * it has sent at once; the rest waits for the next turns, in which the clients that wait
 * get a slice each in order, until the turn is used up. So a client that pours costs its
 * share, and others are served in between.
 */

/** Cost of a turn, in bytes of which only a copy is made. */
const MAX_TURN_COST_BYTES = 512 * 1024

export interface TurnTaker {
  /** Reads a slice; returns its cost. */
  takeTurn: () => number
}

export class ReadTurns {
  private readonly _waiting = new Set<TurnTaker>()
  private _next: NodeJS.Immediate | undefined

  /** Asks for another turn. */
  wait (taker: TurnTaker): void {
    this._waiting.add(taker)
    this._next ??= setImmediate(() => this._run())
  }

  leave (taker: TurnTaker): void {
    this._waiting.delete(taker)
  }

  private _run (): void {
    this._next = undefined
    let costBytes = 0
    // Who wants more waits again, behind the others.
    for (const taker of this._waiting) {
      this._waiting.delete(taker)
      costBytes += taker.takeTurn()
      if (costBytes >= MAX_TURN_COST_BYTES) break
    }
    if (this._waiting.size > 0) this._next ??= setImmediate(() => this._run())
  }
}
