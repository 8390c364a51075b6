/**
 * Which groups of a trainer's open batches are to be whole in time when engines are
 * short. A trainer waits for whole groups, so slots spread evenly over all groups
 * complete none of them. The plan therefore chooses as many groups as fit into the
 * trainer's engine time before they are due, those that need least first, and leaves
 * the others behind. Pure functions.
 */

/** Whether and when a group gets engine time; lower values go first. */
export enum GroupStanding {
  /** Can be whole when it is due. */
  Planned,
  /** Wanted, but cannot be whole when due; aims at the time until which results are of use. */
  Behind,
  /** Beyond the number of groups that the trainer waits for; runs on room that nobody needs. */
  Surplus
}

/** A group with items that are not listed yet. */
export interface OpenGroup {
  readonly groupId: string
  /** The trainer waits for this group first, whichever others are whole. */
  readonly isCarriedOver: boolean
  /** Engine time of one slot that all its open items still need. */
  readonly workMs: number
  /** Time that its longest open item still needs, on the fastest engine. */
  readonly longestMs: number
}

/** An open batch; times by the clock of this host. */
export interface OpenBatch {
  readonly batchId: string
  readonly dueAtMs: number
  /** Until then results are of use. */
  readonly abandonAtMs: number
  /** Groups that the trainer waits for, carried-over ones included. */
  readonly wantedGroupsCount: number
  /** Groups without open items. */
  readonly wholeGroupsCount: number
  readonly groups: readonly OpenGroup[]
}

/** When the groups of a batch are to be whole: when it is due, or while its results are still of use if it is late. */
export function aimAtMs ({ dueAtMs, abandonAtMs }: OpenBatch, nowMs: number): number {
  return nowMs < dueAtMs ? dueAtMs : Math.max(dueAtMs, abandonAtMs)
}

export interface PlannedGroup {
  readonly batch: OpenBatch
  readonly group: OpenGroup
  readonly standing: GroupStanding
}

/** Planned work fills at most this share of the engine time: items end one after the other, so that slots stand idle in between, and hints are often too low. */
const PLANNED_SHARE = 0.9

/**
 * The groups of a trainer in the order in which they get engine time.
 *
 * @param slotsCount the trainer's part of the slots; may be a fraction
 */
export function planGroups (batches: readonly OpenBatch[], slotsCount: number, nowMs: number): PlannedGroup[] {
  const wanted = batches.flatMap(batch => wantedGroups(batch, nowMs))
  const planned = fittingGroups(wanted, slotsCount, nowMs)
  const behind = wanted.filter(candidate => !planned.has(candidate))
  const chosen = new Set(wanted.map(({ group }) => group))
  const surplus = batches.flatMap(batch => batch.groups.filter(group => !chosen.has(group)).map(group => ({ batch, group })))
  return [
    ...[...planned].sort(comparePlanned).map(candidate => ({ ...candidate, standing: GroupStanding.Planned })),
    ...behind.sort(compareBehind).map(candidate => ({ ...candidate, standing: GroupStanding.Behind })),
    ...surplus.sort(compareWork).map(candidate => ({ ...candidate, standing: GroupStanding.Surplus }))
  ]
}

interface Candidate {
  batch: OpenBatch
  group: OpenGroup
}

/** The groups that are to make up the number for which the trainer waits: carried-over ones, then those that can be whole in time, by the work that they need. */
function wantedGroups (batch: OpenBatch, nowMs: number): Candidate[] {
  const { groups, wantedGroupsCount, wholeGroupsCount } = batch
  const candidates = groups.map(group => ({ batch, group }))
  const carriedOver = candidates.filter(({ group }) => group.isCarriedOver)
  const others = candidates.filter(({ group }) => !group.isCarriedOver)
  others.sort((left, right) => Number(isTooLong(left, nowMs)) - Number(isTooLong(right, nowMs)) || compareWork(left, right))
  const missingCount = Math.max(0, wantedGroupsCount - wholeGroupsCount - carriedOver.length)
  return [...carriedOver, ...others.slice(0, missingCount)]
}

/** Whether the longest item of a group ends too late even if it runs from now on. */
function isTooLong ({ batch, group }: Candidate, nowMs: number): boolean {
  return nowMs + group.longestMs > batch.dueAtMs
}

/** As many groups as can be whole when they are due (Moore, 1968): in the order of due times, the largest group so far is dropped when one would be late. */
function fittingGroups (wanted: readonly Candidate[], slotsCount: number, nowMs: number): Set<Candidate> {
  const possible = wanted.filter(candidate => !isTooLong(candidate, nowMs))
  possible.sort((left, right) => left.batch.dueAtMs - right.batch.dueAtMs || comparePlanned(left, right))
  const kept = new Set<Candidate>()
  let workMs = 0
  for (const candidate of possible) {
    kept.add(candidate)
    workMs += candidate.group.workMs
    const roomMs = PLANNED_SHARE * slotsCount * (candidate.batch.dueAtMs - nowMs)
    if (workMs <= roomMs) continue
    const dropped = largestOf(kept)
    kept.delete(dropped)
    workMs -= dropped.group.workMs
  }
  return kept
}

/** The group whose removal frees most; a carried-over one only if there is no other. */
function largestOf (candidates: ReadonlySet<Candidate>): Candidate {
  const [first, ...others] = candidates
  return others.reduce((largest, candidate) => (comparePlanned(largest, candidate) < 0 ? candidate : largest), first as Candidate)
}

/** Carried-over groups first, then those that need least. */
function comparePlanned (left: Candidate, right: Candidate): number {
  if (left.group.isCarriedOver !== right.group.isCarriedOver) return left.group.isCarriedOver ? -1 : 1
  return compareWork(left, right)
}

/** The earlier batch first, because its trainer continues only after it; within a batch as planned groups. */
function compareBehind (left: Candidate, right: Candidate): number {
  return left.batch.abandonAtMs - right.batch.abandonAtMs || comparePlanned(left, right)
}

/** Ties are broken by id, so that every leader makes the same plan. */
function compareWork (left: Candidate, right: Candidate): number {
  return left.group.workMs - right.group.workMs || (left.group.groupId < right.group.groupId ? -1 : 1)
}
