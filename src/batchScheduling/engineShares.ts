/**
 * How trainers share the slots of engines that are short: by the priority of their
 * batches, and what one does not need goes to the others. A free slot goes to the
 * trainer that has the fewest running items for its weight, so that the running items
 * of trainers that wait are in proportion to their weights at any time, without a
 * record of the past that a new leader would lack. Pure apart from the queue's counts.
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
