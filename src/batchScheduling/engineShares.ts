/**
 * How trainers share the slots of engines that are short: by the priority of their
 * batches, and what one does not need goes to the others. A free slot goes to the
 * trainer that has the fewest running items for its weight, and what it missed before is
 * made up for, so that no trainer is passed over while it is below its share.
 */
import { GroupStanding } from './groupPlan.js'

/** The most urgent priority gets this many times the slots of the least urgent one; below 4, the ratio that counts as starvation. */
const MAX_WEIGHT = 3

/** Weight of a trainer; 0 is the most urgent priority. */
export function shareWeightOf (priority: number): number {
  return Math.max(1, MAX_WEIGHT - Math.max(0, priority))
}

export interface SharingTrainer {
  readonly trainer: string
  readonly weight: number
  /** Slots that its open work would occupy until it is due. */
  readonly neededSlotsCount: number
}

/** Slots of each trainer: in proportion to the weights, at most what it needs (max-min fairness). */
export function slotSharesOf (trainers: readonly SharingTrainer[], slotsCount: number): Map<string, number> {
  const shares = new Map<string, number>()
  const byNeed = [...trainers].sort((left, right) => left.neededSlotsCount / left.weight - right.neededSlotsCount / right.weight)
  let freeCount = slotsCount
  let weightsSum = byNeed.reduce((sum, { weight }) => sum + weight, 0)
  for (const { trainer, weight, neededSlotsCount } of byNeed) {
    const share = Math.min(neededSlotsCount, freeCount * weight / weightsSum)
    shares.set(trainer, share)
    freeCount -= share
    weightsSum -= weight
  }
  return shares
}

/** An item that waits for a slot, with its place in the plan of its trainer. */
export interface RankedItem<Item> {
  readonly item: Item
  readonly trainer: string
  readonly weight: number
  readonly standing: GroupStanding
  /** Place among the waiting items of the trainer; the lowest goes first. */
  readonly rank: number
}

interface TrainerQueue<Item> {
  readonly weight: number
  runningCount: number
  readonly items: Array<RankedItem<Item>>
  nextPosition: number
}

/** The waiting items of all trainers in the order in which they get slots, given the items that run. */
export class ShareQueue<Item> {
  private readonly _wanted = new Map<string, TrainerQueue<Item>>()
  private readonly _surplus: Array<RankedItem<Item>> = []
  private _nextSurplus = 0
  private _last: TrainerQueue<Item> | undefined

  /** @param runningCounts running items of each trainer */
  constructor (waiting: ReadonlyArray<RankedItem<Item>>, runningCounts: ReadonlyMap<string, number>) {
    for (const ranked of [...waiting].sort((left, right) => left.rank - right.rank)) {
      if (ranked.standing === GroupStanding.Surplus) this._surplus.push(ranked)
      else this._queueOf(ranked, runningCounts).items.push(ranked)
    }
  }

  /** The next item; undefined after the last one. */
  next (): Item | undefined {
    this._last = this._lowestQueue()
    const ranked = this._last ? this._last.items[this._last.nextPosition++] : this._surplus[this._nextSurplus++]
    return ranked?.item
  }

  /** Records that the item returned last has got a slot. */
  recordStart (): void {
    if (this._last) this._last.runningCount++
  }

  private _lowestQueue (): TrainerQueue<Item> | undefined {
    let lowest: TrainerQueue<Item> | undefined
    for (const queue of this._wanted.values()) {
      if (queue.nextPosition >= queue.items.length) continue
      if (!lowest || queue.runningCount / queue.weight < lowest.runningCount / lowest.weight) lowest = queue
    }
    return lowest
  }

  private _queueOf ({ trainer, weight }: RankedItem<Item>, runningCounts: ReadonlyMap<string, number>): TrainerQueue<Item> {
    let queue = this._wanted.get(trainer)
    if (!queue) {
      queue = { weight, runningCount: runningCounts.get(trainer) ?? 0, items: [], nextPosition: 0 }
      this._wanted.set(trainer, queue)
    }
    return queue
  }
}

/** What a trainer has at the moment. */
export interface ServedTrainer {
  readonly trainer: string
  readonly weight: number
  /** Items that run or wait and are not surplus. */
  readonly wantedItemsCount: number
  readonly runningCount: number
}

/** Engine time that a trainer missed is made up for within about this time, by more running items meanwhile. */
const CREDIT_HORIZON_MS = 300
/** Engine time that is remembered, as time of all slots of the service. */
const MAX_CREDIT_MS = 2_000

/**
 * Engine time that trainers missed, or had beyond their shares, since engines are short.
 * A step that is submitted finds all slots taken and would otherwise lose the time until
 * they are free. A new leader starts without credits, which bounds what is lost with it.
 */
export class ShareCredits {
  /** Time of one slot. */
  private readonly _creditsMs = new Map<string, number>()
  private _recordedAtMs: number | undefined

  /** Has to be called regularly while engines are short. */
  record (trainers: readonly ServedTrainer[], slotsCount: number, nowMs: number): void {
    const passedMs = nowMs - (this._recordedAtMs ?? nowMs)
    this._recordedAtMs = nowMs
    const shares = slotSharesOf(trainers.map(({ trainer, weight, wantedItemsCount }) => ({ trainer, weight, neededSlotsCount: wantedItemsCount })), slotsCount)
    const boundMs = MAX_CREDIT_MS * slotsCount
    for (const { trainer, runningCount } of trainers) {
      const creditMs = (this._creditsMs.get(trainer) ?? 0) + passedMs * ((shares.get(trainer) ?? 0) - runningCount)
      this._creditsMs.set(trainer, Math.max(-boundMs, Math.min(boundMs, creditMs)))
    }
  }

  /** Has to be called while engines are not short; what was missed before is still made up for later. */
  pause (): void {
    this._recordedAtMs = undefined
  }

  /** The number of running items by which a trainer is compared with others. */
  countedRunning (trainer: string, runningCount: number): number {
    return runningCount - (this._creditsMs.get(trainer) ?? 0) / CREDIT_HORIZON_MS
  }
}
