/**
 * What the engines of a service can do until a time, and whether the open work of its
 * batches exceeds that. The order of items is planned by groups only while it does.
 * Engines with a notice of removal take no new runs and do not count; one that boots
 * counts as soon as it is ready. Pure functions.
 */

/** An engine that accepts runs. */
export interface RoomEngine {
  readonly slotsCount: number
  /** Time that a run needs for a token. */
  readonly tokenMs: number
}

/** The engines of a service taken together. */
export interface Room {
  readonly slotsCount: number
  /** Mean time for a token in one slot; 0 without an engine. */
  readonly tokenMs: number
  /** The same on the fastest engine. */
  readonly fastestTokenMs: number
}

export function roomOf (engines: readonly RoomEngine[]): Room {
  const slotsCount = engines.reduce((sum, engine) => sum + engine.slotsCount, 0)
  const tokensPerMs = engines.reduce((sum, engine) => sum + engine.slotsCount / engine.tokenMs, 0)
  return {
    slotsCount,
    tokenMs: tokensPerMs > 0 ? slotsCount / tokensPerMs : 0,
    fastestTokenMs: engines.length > 0 ? Math.min(...engines.map(({ tokenMs }) => tokenMs)) : 0
  }
}

export interface DueWork {
  /** Time until the work is due, or until its results are of no more use if it is late. */
  readonly dueInMs: number
  /** Time in one slot that the work needs at the mean pace. */
  readonly workMs: number
}

/** Whether the engines cannot do all open work before it is due: at one of the due times at least, the work due by then exceeds the room until then. */
export function isShort ({ slotsCount }: Room, open: readonly DueWork[]): boolean {
  let workMs = 0
  return [...open].sort((left, right) => left.dueInMs - right.dueInMs).some(due => {
    workMs += due.workMs
    return workMs > slotsCount * Math.max(0, due.dueInMs)
  })
}
