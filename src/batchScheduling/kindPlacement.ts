/**
 * Remembers what the placement of items rests on: the kinds of engines of each
 * service, the thresholds of each step, which are decided when its first item asks for a
 * slot, and the engines that have run items of a group.
 */
import type { Clock } from '../utils/clock.js'
import type { Engine, EngineFleet } from './engineFleet.js'
import { KIND_RATIO, kindsOf, type EngineKind } from './engineKinds.js'
import { ASSUMED_TOKEN_MS } from './itemOrder.js'
import { expectedRestCount, tailRestCount, type LengthEvidence } from './lengthForecast.js'
import type { ModelDemand } from './modelDemand.js'
import { tokensPerEvent, type Placement } from './placement.js'
import type { SchedulableBatch, SchedulableItem } from './schedulableItem.js'
import { startingKindOf, thresholdsOf, type KindThreshold, type StartingKind } from './stepPlacement.js'

/** Baselines change once a second. */
const KINDS_TTL_MS = 250
/** Engines remembered for each group; a group has few items. */
const MAX_ENGINES_PER_GROUP = 4

export interface KindPlacementOptions {
  clock: Clock
  engines: EngineFleet
  demand: ModelDemand
  /** All items that are not listed yet: waiting, running or being scored. */
  runs: ReadonlySet<SchedulableItem>
  /** The service at which an item runs; undefined while its route is unknown. */
  placementOf: (run: SchedulableItem) => Placement | undefined
}

interface KnownKinds {
  kinds: EngineKind[]
  validUntilMs: number
}

export class KindPlacement {
  private readonly _options: KindPlacementOptions
  private readonly _kinds = new Map<string, KnownKinds>()
  private readonly _thresholds = new WeakMap<SchedulableBatch, KindThreshold[]>()
  private readonly _groupEngines = new WeakMap<SchedulableBatch, Map<string, Engine[]>>()

  constructor (options: KindPlacementOptions) {
    this._options = options
  }

  /** The kinds of a service's engines, fastest first. */
  kindsOf (service: string): EngineKind[] {
    const { clock, engines } = this._options
    const nowMs = clock.nowMs()
    const known = this._kinds.get(service)
    if (known && nowMs < known.validUntilMs) return known.kinds
    const kinds = kindsOf(engines.ofService(service))
    this._kinds.set(service, { kinds, validUntilMs: nowMs + KINDS_TTL_MS })
    return kinds
  }

  /** The kind on which an item starts; undefined while its service has engines of one kind only. */
  startingKindOf (run: SchedulableItem): StartingKind | undefined {
    const thresholds = this._thresholdsOf(run)
    return thresholds && startingKindOf(thresholds, this.expectedRestCount(run))
  }

  /** Whether an engine is of the kind on which an item starts, or of a faster one. */
  isSuitable (run: SchedulableItem, engine: Engine): boolean {
    const kind = this.startingKindOf(run)
    const { lastingGapMs } = engine.pace
    return kind === undefined || lastingGapMs === undefined || lastingGapMs <= KIND_RATIO * kind.gapMs
  }

  /** Expected number of events that an item will still generate. */
  expectedRestCount (run: SchedulableItem): number {
    return expectedRestCount(this._evidenceOf(run))
  }

  /** The engines that have run items of the same group, latest first. */
  enginesOfGroup ({ batch, item }: SchedulableItem): readonly Engine[] {
    return this._groupEngines.get(batch)?.get(item.groupId) ?? []
  }

  /** Time per event of the fastest kind that an item may use, assumed before one is known. */
  fastestGapMs (run: SchedulableItem): number {
    const placement = this._options.placementOf(run)
    if (!placement) return ASSUMED_TOKEN_MS
    return this.kindsOf(placement.service)[0]?.gapMs ?? ASSUMED_TOKEN_MS * tokensPerEvent(placement)
  }

  /** Records that an item starts on an engine. */
  recordStart ({ batch, item }: SchedulableItem, engine: Engine): void {
    const groups = this._groupEngines.get(batch) ?? new Map<string, Engine[]>()
    this._groupEngines.set(batch, groups)
    const others = (groups.get(item.groupId) ?? []).filter(other => other !== engine)
    groups.set(item.groupId, [engine, ...others].slice(0, MAX_ENGINES_PER_GROUP))
  }

  private _thresholdsOf (run: SchedulableItem): KindThreshold[] | undefined {
    const { placementOf, runs, clock } = this._options
    const known = this._thresholds.get(run.batch)
    if (known) return known
    const placement = placementOf(run)
    const kinds = placement ? this.kindsOf(placement.service) : []
    if (kinds.length < 2) return undefined
    const items = [...runs].filter(({ batch }) => batch === run.batch)
    const thresholds = thresholdsOf(kinds, {
      expectedCounts: items.map(item => this.expectedRestCount(item)),
      tailRatio: this._tailRatioOf(run),
      dueInMs: run.dueAtMs - clock.nowMs()
    })
    this._thresholds.set(run.batch, thresholds)
    return thresholds
  }

  private _tailRatioOf (run: SchedulableItem): number {
    const evidence = { ...this._evidenceOf(run), hintedCount: 10, generatedCount: 0, longestCount: 0 }
    return tailRestCount(evidence) / expectedRestCount(evidence)
  }

  private _evidenceOf (run: SchedulableItem): LengthEvidence {
    const { demand, placementOf } = this._options
    const { model, expectedTokensCount } = run.item
    const placement = placementOf(run)
    return {
      hintedCount: expectedTokensCount / (placement ? tokensPerEvent(placement) : 1),
      generatedCount: run.generatedCount,
      longestCount: demand.maxExpectedEventsCount(model),
      spread: demand.lengthSpread(model)
    }
  }
}
