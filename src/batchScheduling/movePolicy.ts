/**
 * Which runs may be cut to go on with another engine. A move reads the prompt and the
 * text so far again, so only a run moves that holds its step up: one that at its present
 * pace ends after the step could have ended, or too late. All runs of a host are judged
 * together a few times a second, so that asking for one of them costs a look-up.
 */
import type { Clock } from '../utils/clock.js'
import type { Engine } from './engineFleet.js'
import type { SchedulableBatch, SchedulableItem } from './schedulableItem.js'

/** Runs are judged anew after this time: a few events. */
const JUDGEMENT_TTL_MS = 200
/** Moves of one run at most: each reads its text again, and what the forecast missed twice it will miss again. */
const MAX_MOVES_COUNT = 3

/** Share of what a run gains by a move that its step has to gain as well. */
const MIN_STEP_GAIN_SHARE = 0.4
/** Share of a step's items that are left out as too long by their hints, where forecasts rest on hints alone: one hint that is far too high says nothing of the step. */
const HINTED_SHARE = 0.1

/** Why a run is moved. */
export enum MoveReason {
  /** Its engine has been slower than its own baseline for longer than a moment. */
  EngineSlowed = 'engine_slowed',
  /** It is longer than was expected when it started on an engine of a slower kind. */
  LongerThanExpected = 'longer_than_expected',
  /** Its engine is about to be removed. */
  EngineLeaves = 'engine_leaves',
  /** Its engine was found unreachable before the run had begun. */
  EngineUnreachable = 'engine_unreachable',
  /** No trainer waits for its group, and other items found all engines full. */
  GivesWay = 'gives_way'
}

/** A decision to move a run, with what it rests on. */
export interface Move {
  reason: MoveReason
  /** Events that the run was expected to generate still. */
  restCount: number
  /** Time that the run is expected to gain; absent where it would be lost otherwise. */
  gainMs?: number
}

export interface MovePolicyOptions {
  clock: Clock
  /** All items that are not listed yet. */
  runs: ReadonlySet<SchedulableItem>
  /** Events that an item is expected to generate still. */
  expectedRestCount: (run: SchedulableItem) => number
  /** Events to allow for: more than expected once a run has come far, as hints are often far off. */
  allowedRestCount: (run: SchedulableItem) => number
  /** Whether the forecasts of an item rest on finished samples, and not on its hint alone. */
  isForecast: (run: SchedulableItem) => boolean
  /** Time per event of the fastest engines that the item may use. */
  fastestGapMs: (run: SchedulableItem) => number
}

export class MovePolicy {
  private readonly _options: MovePolicyOptions
  private readonly _movesCounts = new WeakMap<SchedulableItem, number>()
  private _holdingUp = new Set<SchedulableItem>()
  private _judgedAtMs = Number.NEGATIVE_INFINITY

  constructor (options: MovePolicyOptions) {
    this._options = options
  }

  /** The runs that hold their step up and may still be moved. */
  movable (): ReadonlySet<SchedulableItem> {
    const nowMs = this._options.clock.nowMs()
    if (nowMs < this._judgedAtMs + JUDGEMENT_TTL_MS) return this._holdingUp
    this._judgedAtMs = nowMs
    this._holdingUp = this._judge()
    return this._holdingUp
  }

  /** Records that a run is moved. */
  recordMove (run: SchedulableItem): void {
    this._movesCounts.set(run, (this._movesCounts.get(run) ?? 0) + 1)
    this._holdingUp.delete(run)
  }

  /** Why a run leaves an engine. */
  reasonFor (engine: Engine): MoveReason {
    return engine.pace.isSlowed ? MoveReason.EngineSlowed : MoveReason.LongerThanExpected
  }

  private _judge (): Set<SchedulableItem> {
    const { runs, expectedRestCount, allowedRestCount, isForecast, fastestGapMs } = this._options
    // An item without an engine that has started is being scored, or starts again in a moment.
    const open = [...runs].filter(run => run.engine !== undefined || !run.isStarted)
    const restsMs = new Map<SchedulableBatch, number[]>()
    for (const run of open) {
      const restMs = expectedRestCount(run) * fastestGapMs(run)
      const known = restsMs.get(run.batch)
      if (known) known.push(restMs)
      else restsMs.set(run.batch, [restMs])
    }
    /** By batch: how long the step lasts in any case. */
    const stepsMs = new Map<SchedulableBatch, number>()
    for (const run of open) {
      if (!stepsMs.has(run.batch)) stepsMs.set(run.batch, stepMsOf(restsMs.get(run.batch) ?? [], isForecast(run) ? 0 : HINTED_SHARE * run.batch.submission.itemsCount))
    }
    return new Set(open.filter(run => {
      const gapMs = run.engine?.pace.lastingGapMs
      if (gapMs === undefined || (this._movesCounts.get(run) ?? 0) >= MAX_MOVES_COUNT) return false
      const restMs = allowedRestCount(run) * gapMs
      const runGainMs = allowedRestCount(run) * (gapMs - fastestGapMs(run))
      const stepGainMs = restMs - (stepsMs.get(run.batch) ?? 0)
      return stepGainMs > 0 && stepGainMs >= MIN_STEP_GAIN_SHARE * runGainMs
    }))
  }
}

/** Time that a step lasts at least, from the rests of its open items on the fastest engines, without the longest ones. */
function stepMsOf (restsMs: readonly number[], leftOutCount: number): number {
  return [...restsMs].sort((left, right) => right - left)[Math.floor(leftOutCount)] ?? 0
}
