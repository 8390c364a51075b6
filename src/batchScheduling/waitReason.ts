/**
 * The reasons for which an item waits.
 */

/** Why a queued item has no slot. */
export enum WaitReason {
  NoRoute = 'no_route',
  /** The service has no engine that accepts new runs. */
  NoEngine = 'no_engine',
  /** No engine has weights that are new enough. */
  NoVersion = 'no_version',
  /** All engines with these weights are ejected after failures, report that they are full, or are loading weights. */
  EnginesUnfit = 'engines_unfit',
  NoSlot = 'no_slot',
  /** Slots are free only on engines of a kind that is too slow for the item. */
  FasterKind = 'faster_kind',
  /** A slot is free, but the item waits for a better slot or for its turn. */
  Turn = 'turn'
}
