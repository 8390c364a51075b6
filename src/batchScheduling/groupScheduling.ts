/**
 * Makes the plan of groups from the open items and the engines that there are, and
 * puts waiting items into its order while engines are short. The plan holds nothing
 * that could be lost: it is made anew every now and then, from what the log and the
 * runs show, and not for each comparison of items, since hundreds of items may wait.
 */
import type { Clock } from '../utils/clock.js'
import { tokensPerEvent, type Placement } from './placement.js'
import type { EngineFleet } from './engineFleet.js'
import { ShareCredits, shareWeightOf, ShareQueue, slotSharesOf } from './engineShares.js'
import { aimAtMs, GroupStanding, planGroups, type OpenBatch, type OpenGroup } from './groupPlan.js'
import { ASSUMED_TOKEN_MS, expectedGapMs } from './itemOrder.js'
import { isShort, roomOf, type Room } from './room.js'
import type { SchedulableBatch, SchedulableItem } from './schedulableItem.js'

/** Interval between two plans while no batch is added: some events of an engine, a small part of a step. */
const PLAN_INTERVAL_MS = 250
/** An item that has made more than its hint is expected to need at least this share of the hint. */
const OVERRUN_SHARE = 0.1
/** Shortest time over which the need of slots is taken, for batches that are about to be due. */
const MIN_NEED_HORIZON_MS = 500

/** What is planned for a batch. */
export interface BatchPlan {
  readonly batch: SchedulableBatch
  readonly wantedCount: number
  readonly wholeCount: number
  readonly plannedCount: number
  readonly behindCount: number
  readonly surplusCount: number
  /** Engine time of one slot that the open items of the batch need. */
  readonly openWorkMs: number
  /** Engine time of the trainer's part of the slots until the batch is due. */
  readonly roomMs: number
  /** Whether the engines of the service are short, so that the plan orders its items. */
  readonly isShort: boolean
}

export interface GroupSchedulingOptions {
  clock: Clock
  engines: EngineFleet
  /** All items that are not listed yet. */
  runs: ReadonlySet<SchedulableItem>
  placementOf: (run: SchedulableItem) => Placement | undefined
  /** Called with each new plan. */
  onPlan?: ((plans: readonly BatchPlan[]) => void) | undefined
}

/** Standing of a group in the present plan. */
interface Standing {
  readonly standing: GroupStanding
  /** Place among the groups of its trainer that are not planned; planned ones are ordered by the slack of their items. */
  readonly rank: number
  /** Whether the plan orders the items of the group. */
  readonly isOrdered: boolean
  /** Whether a run of the group is stopped for an item that waits. */
  readonly givesWay: boolean
}

interface GroupDraft {
  isCarriedOver: boolean
  workTokensCount: number
  longestTokensCount: number
  openItemsCount: number
}

interface BatchDraft {
  readonly batch: SchedulableBatch
  readonly run: SchedulableItem
  readonly placement: Placement
  readonly groups: Map<string, GroupDraft>
}

interface TrainerDraft {
  readonly trainer: string
  readonly weight: number
  readonly batches: Array<{ draft: BatchDraft, open: OpenBatch }>
  neededSlotsCount: number
}

const UNPLANNED: Standing = { standing: GroupStanding.Planned, rank: 0, isOrdered: false, givesWay: false }

export class GroupScheduling {
  private readonly _options: GroupSchedulingOptions
  private _plannedAtMs = Number.NEGATIVE_INFINITY
  private _isAnyShort = false
  private _isAnyGivingWay = false
  private readonly _credits = new ShareCredits()
  private _standings = new Map<SchedulableBatch, Map<string, Standing>>()

  constructor (options: GroupSchedulingOptions) {
    this._options = options
  }

  /** Has to be called when a batch was added. */
  batchAdded (): void {
    this._plannedAtMs = Number.NEGATIVE_INFINITY
  }

  /** Makes a new plan if the present one is old; returns whether the order of items may have changed. */
  refresh (): boolean {
    const nowMs = this._options.clock.nowMs()
    if (nowMs < this._plannedAtMs + PLAN_INTERVAL_MS) return false
    const wasOrdering = this._isOrdering
    this._plannedAtMs = nowMs
    this._plan(nowMs)
    return wasOrdering || this._isOrdering
  }

  /** Compares the places of the groups of two items; 0 if the items are ordered by their slack. */
  compareGroups (left: SchedulableItem, right: SchedulableItem): number {
    if (!this._isOrdering) return 0
    const [first, second] = [this._standingOf(left), this._standingOf(right)]
    return standingOrder(first) - standingOrder(second) || first.rank - second.rank
  }

  /** The waiting items, which are sorted, in the order in which they get slots; undefined while they are ordered by slack alone. */
  queueOf<Waiting extends { run: SchedulableItem }> (waiting: readonly Waiting[]): ShareQueue<Waiting> | undefined {
    if (!this._isAnyShort) return undefined
    const ranked = waiting.map((item, rank) => {
      const { batch, priority } = item.run
      return { item, trainer: trainerOf(batch), weight: shareWeightOf(priority), standing: standingOrder(this._standingOf(item.run)), rank }
    })
    const runningCounts = this._runningCounts()
    const trainers = new Set(ranked.map(({ trainer }) => trainer))
    const counted = [...trainers].map((trainer): [string, number] => [trainer, this._credits.countedRunning(trainer, runningCounts.get(trainer) ?? 0)])
    return new ShareQueue(ranked, new Map(counted))
  }

  /** Whether an item waits only for room that nobody needs. */
  isSurplus (run: SchedulableItem): boolean {
    return standingOrder(this._standingOf(run)) === GroupStanding.Surplus
  }

  /** Runs that give their slots to items that wait for them. */
  runsGivingWay (): SchedulableItem[] {
    if (!this._isAnyGivingWay) return []
    return [...this._options.runs].filter(run => run.engine !== undefined && this._standingOf(run).givesWay)
  }

  private get _isOrdering (): boolean {
    return this._isAnyShort || this._isAnyGivingWay
  }

  private _standingOf ({ batch, item }: SchedulableItem): Standing {
    return this._standings.get(batch)?.get(item.groupId) ?? UNPLANNED
  }

  private _runningCounts (): Map<string, number> {
    const counts = new Map<string, number>()
    for (const { engine, batch } of this._options.runs) {
      if (engine === undefined) continue
      const trainer = trainerOf(batch)
      counts.set(trainer, (counts.get(trainer) ?? 0) + 1)
    }
    return counts
  }

  private _recordCredits (trainers: readonly TrainerDraft[], room: Room, nowMs: number): void {
    const runningCounts = this._runningCounts()
    const served = trainers.map(({ trainer, weight, batches }) => (
      { trainer, weight, wantedItemsCount: batches.reduce((sum, { draft }) => sum + this._wantedItemsCount(draft), 0), runningCount: runningCounts.get(trainer) ?? 0 }
    ))
    this._credits.record(served, room.slotsCount, nowMs)
  }

  private _wantedItemsCount ({ batch, groups }: BatchDraft): number {
    const standings = this._standings.get(batch)
    return [...groups].reduce((sum, [groupId, { openItemsCount }]) => sum + (standings?.get(groupId)?.standing === GroupStanding.Surplus ? 0 : openItemsCount), 0)
  }

  private _plan (nowMs: number): void {
    this._isAnyShort = false
    this._isAnyGivingWay = false
    this._standings = new Map()
    const plans: BatchPlan[] = []
    for (const [service, drafts] of this._draftsByService()) plans.push(...this._planService(service, drafts, nowMs))
    if (!this._isAnyShort) this._credits.pause()
    this._options.onPlan?.(plans)
  }

  private _planService (service: string, drafts: readonly BatchDraft[], nowMs: number): BatchPlan[] {
    const [first] = drafts
    if (!first) return []
    const room = this._roomOf(service, first.placement)
    const batches = drafts.map(draft => ({ draft, open: openBatchOf(draft, room) }))
    const isServiceShort = isShort(room, batches.map(({ open }) => ({ dueInMs: aimAtMs(open, nowMs) - nowMs, workMs: workMsOf(open) })))
    this._isAnyShort ||= isServiceShort
    const trainers = trainersOf(batches, nowMs)
    const shares = slotSharesOf(trainers, room.slotsCount)
    const plans = trainers.flatMap(trainer => this._planTrainer(trainer, shares.get(trainer.trainer) ?? 0, isServiceShort, nowMs))
    if (isServiceShort) this._recordCredits(trainers, room, nowMs)
    return plans
  }

  private _planTrainer ({ batches }: TrainerDraft, slotsCount: number, isServiceShort: boolean, nowMs: number): BatchPlan[] {
    const draftOf = new Map(batches.map(({ draft, open }) => [open, draft]))
    const counts = new Map<OpenBatch, Record<GroupStanding, number>>()
    const planned = planGroups(batches.map(({ open }) => open), slotsCount, nowMs)
    for (const [rank, { batch: open, group, standing }] of planned.entries()) {
      const draft = draftOf.get(open)
      if (!draft) continue
      const isSatisfied = open.wholeGroupsCount >= open.wantedGroupsCount
      const givesWay = standing === GroupStanding.Surplus && (isServiceShort || isSatisfied)
      this._isAnyGivingWay ||= givesWay
      const standings = this._standings.get(draft.batch) ?? new Map<string, Standing>()
      this._standings.set(draft.batch, standings)
      standings.set(group.groupId, { standing, rank: standing !== GroupStanding.Planned && (isServiceShort || givesWay) ? rank : 0, isOrdered: isServiceShort, givesWay })
      const ofBatch = counts.get(open) ?? { [GroupStanding.Planned]: 0, [GroupStanding.Behind]: 0, [GroupStanding.Surplus]: 0 }
      counts.set(open, ofBatch)
      ofBatch[standing]++
    }
    return batches.map(({ draft, open }) => ({
      batch: draft.batch,
      wantedCount: open.wantedGroupsCount,
      wholeCount: open.wholeGroupsCount,
      plannedCount: counts.get(open)?.[GroupStanding.Planned] ?? 0,
      behindCount: counts.get(open)?.[GroupStanding.Behind] ?? 0,
      surplusCount: counts.get(open)?.[GroupStanding.Surplus] ?? 0,
      openWorkMs: workMsOf(open),
      roomMs: slotsCount * Math.max(0, aimAtMs(open, nowMs) - nowMs),
      isShort: isServiceShort
    }))
  }

  private _draftsByService (): Map<string, BatchDraft[]> {
    const drafts = new Map<SchedulableBatch, BatchDraft>()
    for (const run of this._options.runs) {
      const draft = drafts.get(run.batch) ?? this._draftOf(run)
      if (!draft) continue
      drafts.set(run.batch, draft)
      addItem(draft.groups, run)
    }
    const byService = new Map<string, BatchDraft[]>()
    for (const draft of drafts.values()) {
      const { service } = draft.placement
      byService.set(service, [...byService.get(service) ?? [], draft])
    }
    return byService
  }

  private _draftOf (run: SchedulableItem): BatchDraft | undefined {
    const placement = this._options.placementOf(run)
    return placement && { batch: run.batch, run, placement, groups: new Map() }
  }

  /** Engines that load weights or have older ones count too: they have the new ones long before a step is due. */
  private _roomOf (service: string, placement: Placement): Room {
    const perEvent = tokensPerEvent(placement)
    const engines = this._options.engines.ofService(service).filter(({ health }) => health.isAvailable)
    return roomOf(engines.map(engine => ({ slotsCount: engine.endpoint.slotsCount, tokenMs: expectedGapMs(engine, ASSUMED_TOKEN_MS * perEvent) / perEvent })))
  }
}

/** Without a shortage only groups that give way have a place of their own, the last. */
function standingOrder ({ standing, isOrdered, givesWay }: Standing): GroupStanding {
  return isOrdered || givesWay ? standing : GroupStanding.Planned
}

function trainerOf ({ submission: { account = '', model } }: SchedulableBatch): string {
  return `${account} ${model}`
}

function addItem (groups: Map<string, GroupDraft>, run: SchedulableItem): void {
  const { item, isCarriedOver, isGenerated } = run
  const group = groups.get(item.groupId) ?? { isCarriedOver: false, workTokensCount: 0, longestTokensCount: 0, openItemsCount: 0 }
  groups.set(item.groupId, group)
  group.isCarriedOver ||= isCarriedOver
  if (isGenerated) return
  const remainingTokensCount = Math.max(run.remainingTokensCount, OVERRUN_SHARE * item.expectedTokensCount)
  group.openItemsCount++
  group.workTokensCount += remainingTokensCount
  group.longestTokensCount = Math.max(group.longestTokensCount, remainingTokensCount)
}

function openBatchOf ({ batch, run, groups }: BatchDraft, { tokenMs, fastestTokenMs }: Room): OpenBatch {
  const { groupsCount, submission: { wantedGroupsCount } } = batch
  const open = [...groups].map(([groupId, { isCarriedOver, workTokensCount, longestTokensCount }]): OpenGroup => (
    { groupId, isCarriedOver, workMs: workTokensCount * tokenMs, longestMs: longestTokensCount * fastestTokenMs }
  ))
  // Without the number of its groups, or a number that is waited for, every group of a batch counts as wanted.
  const isCounted = groupsCount !== undefined && wantedGroupsCount > 0
  return {
    batchId: batch.batchId,
    dueAtMs: run.times.dueAtMs,
    abandonAtMs: run.times.abandonAtMs,
    wantedGroupsCount: isCounted ? Math.min(wantedGroupsCount, groupsCount) : open.length + 1,
    wholeGroupsCount: isCounted ? groupsCount - open.length : 0,
    groups: open
  }
}

function trainersOf (batches: TrainerDraft['batches'], nowMs: number): TrainerDraft[] {
  const trainers = new Map<string, TrainerDraft>()
  for (const entry of batches) {
    const { batch, run } = entry.draft
    const trainer = trainers.get(trainerOf(batch)) ?? { trainer: trainerOf(batch), weight: shareWeightOf(run.priority), batches: [], neededSlotsCount: 0 }
    trainers.set(trainer.trainer, trainer)
    trainer.batches.push(entry)
    trainer.neededSlotsCount += workMsOf(entry.open) / Math.max(MIN_NEED_HORIZON_MS, aimAtMs(entry.open, nowMs) - nowMs)
  }
  return [...trainers.values()]
}

function workMsOf ({ groups }: OpenBatch): number {
  return groups.reduce((sumMs, { workMs }) => sumMs + workMs, 0)
}
