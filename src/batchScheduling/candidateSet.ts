/**
 * The engines that items of a batch may use at one service, for one round of
 * assignment. Comparisons of engines are kept until a slot is taken, since hundreds of
 * items ask the same.
 */
import type { Engine } from './engineFleet.js'
import type { EngineKind } from './engineKinds.js'
import { ASSUMED_TOKEN_MS, eventCostMs, loadOf, type EngineLoad } from './itemOrder.js'
import { tokensPerEvent, type Placement } from './placement.js'

/** An engine whose weights are new enough, with its load at the start of the round. */
export interface Candidate extends EngineLoad {
  /** Another run may start while the engine has fewer runs than this. */
  maxRunsCount: number
}

/** Engines among which only their load makes a difference. */
export interface Tier {
  gapMs: number
  candidates: Candidate[]
}

export class CandidateSet {
  readonly placement: Placement
  /** All candidates as one tier. */
  readonly whole: Tier
  /** Candidates by kind, fastest first, then those that are slowed down; fewer than two where all are of one kind. */
  readonly tiers: Tier[]
  /** No engine has a free slot. Slots are only taken during a round, so this never changes back. */
  isFull = false
  /** No engine has a slot that a deferrable item may take. */
  isFullForDeferrable = false
  /** Filled by the first item that has a free engine: in most rounds, all engines are full. */
  private _byEngine: Map<Engine, { tier: Tier, candidate: Candidate }> | undefined
  private readonly _cheapest = new Map<Tier, Map<number | undefined, Candidate | undefined>>()
  private _assignedCountAtComparison = 0

  constructor (placement: Placement, whole: Tier, tiers: Tier[]) {
    this.placement = placement
    this.whole = whole
    this.tiers = tiers
  }

  /** @param kinds the kinds of the service's engines, fastest first */
  static of (placement: Placement, engines: readonly Engine[], kinds: readonly EngineKind[]): CandidateSet {
    const candidates = engines.map(engine => candidateOf(engine, placement))
    return new CandidateSet(placement, { gapMs: 0, candidates }, kinds.length < 2 ? [] : tiersOf(candidates, kinds))
  }

  /** The same without some engines. */
  filter (isAllowed: (engine: Engine) => boolean): CandidateSet {
    const filtered = (tier: Tier): Tier => ({ ...tier, candidates: tier.candidates.filter(({ engine }) => isAllowed(engine)) })
    return new CandidateSet(this.placement, filtered(this.whole), this.tiers.map(filtered))
  }

  get engines (): Engine[] {
    return this.whole.candidates.map(({ engine }) => engine)
  }

  /**
   * The cheapest candidate of a tier.
   *
   * @param maxRunsCount considers engines with fewer runs than this; undefined also considers full engines
   * @param assignedCount slots assigned in the round so far
   */
  cheapest (tier: Tier, maxRunsCount: number | undefined, assignedCount: number): Candidate | undefined {
    if (this._assignedCountAtComparison !== assignedCount) {
      this._cheapest.clear()
      this._assignedCountAtComparison = assignedCount
    }
    const known = this._cheapest.get(tier) ?? new Map<number | undefined, Candidate | undefined>()
    this._cheapest.set(tier, known)
    if (!known.has(maxRunsCount)) known.set(maxRunsCount, cheapestOf(tier.candidates, maxRunsCount))
    return known.get(maxRunsCount)
  }

  /** The first of some engines that has about as few runs as the cheapest candidate of its tier; the cheapest without one. */
  preferred (engines: readonly Engine[], cheapest: Candidate, tier: Tier, maxRunsCount: number, furtherRunsCount: number): Candidate {
    if (engines.length === 0) return cheapest
    this._byEngine ??= new Map(this.tiers.flatMap(each => each.candidates.map(candidate => [candidate.engine, { tier: each, candidate }] as const)))
    for (const engine of engines) {
      const known = this._byEngine.get(engine)
      if (known?.tier !== tier || !hasRoom(known.candidate, maxRunsCount) || known.candidate.isUncertain) continue
      if (engine.runningCount <= cheapest.engine.runningCount + furtherRunsCount) return known.candidate
    }
    return cheapest
  }
}

/** Indexes of kinds by engine; kinds are the same object for several rounds. */
const kindIndexes = new WeakMap<readonly EngineKind[], Map<Engine, number>>()

function kindIndexesOf (kinds: readonly EngineKind[]): Map<Engine, number> {
  const known = kindIndexes.get(kinds)
  if (known) return known
  const indexes = new Map(kinds.flatMap(({ engines }, index) => engines.map(engine => [engine, index] as const)))
  kindIndexes.set(kinds, indexes)
  return indexes
}

/** Tiers by kind. Engines of no kind belong to the slowest until they have shown their pace. */
function tiersOf (candidates: readonly Candidate[], kinds: readonly EngineKind[]): Tier[] {
  const tiers = kinds.map(({ gapMs }): Tier => ({ gapMs, candidates: [] }))
  const slowed: Tier = { gapMs: Number.POSITIVE_INFINITY, candidates: [] }
  const kindByEngine = kindIndexesOf(kinds)
  for (const candidate of candidates) {
    const { engine } = candidate
    const index = kindByEngine.get(engine)
    const tier = engine.pace.isSlowed ? slowed : tiers[index ?? kinds.length - 1]
    // Within a kind, only runs and memory tell engines apart, also at a slow moment.
    if (index !== undefined && tier !== slowed) candidate.gapMs = tiers[index]?.gapMs ?? candidate.gapMs
    tier?.candidates.push(candidate)
  }
  slowed.gapMs = Math.min(...slowed.candidates.map(({ gapMs }) => gapMs))
  return [...tiers, slowed].filter(tier => tier.candidates.length > 0)
}

function candidateOf (engine: Engine, placement: Placement): Candidate {
  const load = loadOf(engine, ASSUMED_TOKEN_MS * tokensPerEvent(placement), placement.modelEngine?.kvCapacityTokens ?? Number.POSITIVE_INFINITY)
  // An engine that may still be slow gets a single run as a probe. One that had failed gets the next as soon as it has begun the last.
  return { ...load, maxRunsCount: engine.pace.needsProbe ? 1 : engine.endpoint.slotsCount }
}

function hasRoom ({ engine, maxRunsCount: ownMaxCount, isUncertain }: Candidate, maxRunsCount: number): boolean {
  if (engine.runningCount >= Math.min(maxRunsCount, ownMaxCount)) return false
  // A probing engine accepts one run at a time and may have got that run earlier in this round.
  return !isUncertain || engine.health.isAvailable
}

function cheapestOf (candidates: readonly Candidate[], maxRunsCount: number | undefined): Candidate | undefined {
  let best: Candidate | undefined
  let lowestCostMs = Number.POSITIVE_INFINITY
  for (const candidate of candidates) {
    const isUsable = maxRunsCount === undefined ? !candidate.isUncertain || candidate.engine.health.isAvailable : hasRoom(candidate, maxRunsCount)
    if (!isUsable) continue
    const costMs = eventCostMs(candidate)
    if (costMs >= lowestCostMs) continue
    best = candidate
    lowestCostMs = costMs
  }
  return best
}
