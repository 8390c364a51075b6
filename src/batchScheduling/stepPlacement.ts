/**
 * Decides on which kind of engine the items of a step start, where engines differ by
 * nature. Pure functions.
 *
 * The load behind it: a quarter of the engines is twice as fast as the others, and a
 * tenth of the items is five times as long as the rest. Items that started wherever a
 * slot was free, and moved later, were a third of all runs, and the fast engines were
 * full of short items that would have been in time anywhere.
 *
 * A step lasts at least as long as its longest item takes on the fastest kind. An item
 * starts on the slowest kind on which it ends within that time even if it becomes longer
 * than its hint, and before the step is due. Its kind is decided once.
 */
import type { EngineKind } from './engineKinds.js'

/** A kind may get this many times its share of a step's work before the shorter items that would gain from it start elsewhere. */
const MAX_SHARE_RATIO = 1.2

export interface StepLengths {
  /** Expected events of the items of the step. */
  expectedCounts: readonly number[]
  /** Ratio of the length that nine of ten items stay within to the expected length. */
  tailRatio: number
  /** Time until the results of the step are due. */
  dueInMs: number
}

/** The items that start on a kind, or on a faster one. */
export interface KindThreshold {
  /** Time per event of the kind. */
  gapMs: number
  /** Items of at least this many expected events start on the kind, unless they belong to a faster one. */
  minEventsCount: number
  /** Items of at least this many expected events would hold the step up on a slower kind. */
  neededEventsCount: number
}

/** Where an item starts. */
export interface StartingKind {
  /** Time per event of its kind. */
  gapMs: number
  /** Time per event of the faster kind that it would need but for longer items, whose spare slots it takes first; its own without one. */
  neededGapMs: number
}

/** The threshold of each kind, in the order of the kinds: fastest first. */
export function thresholdsOf (kinds: readonly EngineKind[], { expectedCounts, tailRatio, dueInMs }: StepLengths): KindThreshold[] {
  const sorted = [...expectedCounts].sort((left, right) => right - left)
  const totalCount = sorted.reduce((sum, count) => sum + count, 0)
  const totalSpeed = kinds.reduce((sum, { eventsPerMs }) => sum + eventsPerMs, 0)
  const stepMs = Math.min((sorted[0] ?? 0) * (kinds[0]?.gapMs ?? 0), Math.max(0, dueInMs))
  let position = 0
  return kinds.map(({ gapMs, eventsPerMs }, index) => {
    const slower = kinds[index + 1]
    if (!slower) return { gapMs, minEventsCount: 0, neededEventsCount: 0 }
    const neededCount = stepMs / slower.gapMs / tailRatio
    const maxCount = MAX_SHARE_RATIO * totalCount * eventsPerMs / totalSpeed
    let minEventsCount = Number.POSITIVE_INFINITY
    for (let takenCount = 0; position < sorted.length; position++) {
      const count = sorted[position] ?? 0
      if (count < neededCount || takenCount + count > maxCount) break
      takenCount += count
      minEventsCount = count
    }
    return { gapMs, minEventsCount, neededEventsCount: neededCount }
  })
}

/** The kind on which an item starts; undefined without kinds. */
export function startingKindOf (thresholds: readonly KindThreshold[], expectedCount: number): StartingKind | undefined {
  const own = thresholds.find(({ minEventsCount }) => expectedCount >= minEventsCount)
  const needed = thresholds.find(({ neededEventsCount }) => expectedCount >= neededEventsCount)
  return own && { gapMs: own.gapMs, neededGapMs: Math.min(own.gapMs, needed?.gapMs ?? own.gapMs) }
}
