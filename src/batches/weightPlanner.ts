/**
 * Which engine loads which weights next. Loads are what several trained models
 * share first: the weight store feeds only a few at a time, and every trainer
 * names a new version at each step. Bringing every engine to every version
 * would take longer than a version lasts, so each model keeps a set of engines,
 * sized to its work and to what the loads can renew, and the next load goes
 * where samples cannot start without it. Pure functions: the decision depends
 * on its arguments only.
 *
 * Three trainers on eight engines and two loads at a time: a quiet half minute
 * earned 0.91 of what its samples are worth instead of 0.82, days with faults 0.77
 * instead of 0.59 (three and fifteen played days). Sets that leave no engine out
 * earn 0.03 less than sized ones, with a fifth more loads.
 */

/** An engine as far as loads depend on it. */
export interface PlannedEngine {
  engineId: string
  /** It takes work and orders: not leaving, not suspect. */
  isSound: boolean
  /** It fails what it is given, as far as is known: its weights make no samples. */
  isFailing: boolean
  /** No load is under way there, and no order of another host may meet ours. */
  mayBeOrdered: boolean
  /** Time that it needs for an event. */
  gapMs: number
  slotsCount: number
  freeSlotsCount: number
  /** Version that it holds of a model, or will once its load has ended. */
  versionOf: (model: string) => number
}

/** A trained model as far as loads depend on it. */
export interface PlannedModel {
  model: string
  /** The newest version that its trainer named. */
  namedVersion: number
  /** The oldest version that may make samples of a step that is asked for now. */
  neededVersion: number
  /** Items that wait although they might run at once on an engine with fitting weights. */
  waitingCount: number
  /** Items of its latest step: slots that the next one will ask for at once; undefined until a step was seen. */
  stepItemsCount: number | undefined
  /** Time between two versions; undefined until it was seen. */
  namingIntervalMs: number | undefined
  /** 0 is the most urgent; undefined while nothing of it is open. */
  priority?: number | undefined
}

/** What the loads themselves can do. */
export interface LoadCapacity {
  /** Loads at a time that do not slow each other down. */
  lanesCount: number
  /** Time that one takes. */
  loadMs: number
}

/** In the order in which they are served. */
export enum LoadReason {
  /** Items wait that no engine of a set that is not whole has room for. */
  ItemsWait = 'items_wait',
  /** Fewer engines than the model's share can run what is asked for now. */
  SetIncomplete = 'set_incomplete',
  /** Too few engines will still do once the next version is named. */
  NextVersion = 'next_version'
}

export interface PlannedLoad {
  engineId: string
  model: string
  version: number
  reason: LoadReason
}

/** Until two namings were seen: trainers of either deployment name a version every four seconds. */
const ASSUMED_NAMING_INTERVAL_MS = 4_000
/** Share of the loads that sets are sized to; the rest makes up for loads that fail and engines that are lost. With 0.6, days with faults earn 0.03 less. */
const PLANNED_LOAD_SHARE = 0.8
/** A set has room for a step and half another: two are open at a time, and the earlier one keeps its long samples. Reasoned, not varied. */
const STEPS_OF_ROOM = 1.5
/** One more engine than the work needs, so that the loss of one leaves room. */
const SPARE_ENGINES_COUNT = 1
/** An engine this many times slower than the fastest finishes no long sample in time, whatever it holds. */
const TOO_SLOW_RATIO = 2
/** Slowness that one more model on an engine weighs as much as: models that share an engine share its slots, not its pace, so that two others weigh less than an engine that is slower by 1.3. Reasoned, not varied. */
const SHARING_COST = 0.1
/** Slowness that an engine without a free slot weighs as much as: its slots are free again within a second, its pace stays. Reasoned, not varied. */
const OCCUPIED_COST = 0.2

/**
 * The next load that is worth its place; undefined when none is.
 * @param engines those of one service
 * @param models what the service's engines are trained for
 */
export function nextLoad (engines: readonly PlannedEngine[], models: readonly PlannedModel[], capacity: LoadCapacity): PlannedLoad | undefined {
  const sound = soundOf(engines)
  const fastestMs = Math.min(...sound.map(({ gapMs }) => gapMs))
  const useful = sound.filter(({ gapMs }) => gapMs < TOO_SLOW_RATIO * fastestMs)
  const sizes = setSizes(useful, models, capacity)
  const wants = models.map((model, position) => wantOf(model, sizes[position] ?? 0, useful)).filter(want => want !== undefined)
  wants.sort((left, right) => rankOf(left.reason) - rankOf(right.reason) || left.coverage - right.coverage || priorityOf(left) - priorityOf(right))
  for (const want of wants) {
    const engine = engineFor(want, useful, models, fastestMs)
    if (engine) return { engineId: engine.engineId, model: want.model.model, version: want.model.namedVersion, reason: want.reason }
  }
  return undefined
}

/** Those that make samples; with none of these, whatever takes orders. */
function soundOf (engines: readonly PlannedEngine[]): PlannedEngine[] {
  const sound = engines.filter(({ isSound }) => isSound)
  const working = sound.filter(({ isFailing }) => !isFailing)
  return working.length > 0 ? working : sound
}

/**
 * Engines that each model keeps, by the order of the models. A version lasts
 * for as many steps as a sample may be behind, and an engine needs a load once
 * in that time; what all loads together can renew is shared out by the slots
 * that the models' steps ask for.
 */
export function setSizes (engines: readonly PlannedEngine[], models: readonly PlannedModel[], { lanesCount, loadMs }: LoadCapacity): number[] {
  const loadsPerMs = PLANNED_LOAD_SHARE * lanesCount / loadMs
  const neededPerMs = models.map(model => enginesForWork(model, engines) / lifetimeMs(model)).reduce((sum, perMs) => sum + perMs, 0)
  const renewableShare = neededPerMs > 0 ? loadsPerMs / neededPerMs : 1
  return models.map(model => {
    const wantedCount = enginesForWork(model, engines)
    const renewableCount = Math.max(1, Math.floor(renewableShare * wantedCount))
    return Math.min(engines.length, renewableCount, Math.ceil(wantedCount) + SPARE_ENGINES_COUNT)
  })
}

/** What is not known yet is taken for work for all. */
function enginesForWork ({ stepItemsCount }: PlannedModel, engines: readonly PlannedEngine[]): number {
  if (stepItemsCount === undefined) return Math.max(1, engines.length)
  const slotsCount = Math.max(1, ...engines.map(engine => engine.slotsCount))
  return Math.max(1, STEPS_OF_ROOM * stepItemsCount / slotsCount)
}

/** How long an engine may run a model's samples after it loaded the version just named. */
function lifetimeMs (model: PlannedModel): number {
  return stepsOfLife(model) * (model.namingIntervalMs ?? ASSUMED_NAMING_INTERVAL_MS)
}

function stepsOfLife ({ namedVersion, neededVersion }: PlannedModel): number {
  return Math.max(1, namedVersion - neededVersion + 1)
}

interface Want {
  model: PlannedModel
  reason: LoadReason
  /** Share of what it should have that it has; the lowest goes first. */
  coverage: number
}

/** What nobody has asked for yet goes first, as before any priority was known. */
function priorityOf ({ model }: Want): number {
  return model.priority ?? 0
}

function rankOf (reason: LoadReason): number {
  return Object.values(LoadReason).indexOf(reason)
}

/** What a model lacks most; undefined when it lacks nothing. */
function wantOf (model: PlannedModel, setSize: number, engines: readonly PlannedEngine[]): Want | undefined {
  const fitting = engines.filter(engine => engine.versionOf(model.model) >= model.neededVersion)
  if (fitting.length < setSize) {
    const isShort = model.waitingCount > 0 && fitting.every(({ freeSlotsCount }) => freeSlotsCount === 0)
    return { model, reason: isShort ? LoadReason.ItemsWait : LoadReason.SetIncomplete, coverage: fitting.length / setSize }
  }
  const lastingCount = engines.filter(engine => engine.versionOf(model.model) >= model.namedVersion).length
  const lastingWantedCount = Math.ceil(setSize / stepsOfLife(model))
  if (lastingCount < lastingWantedCount) return { model, reason: LoadReason.NextVersion, coverage: lastingCount / lastingWantedCount }
  return undefined
}

/** The engine that a model gains most by, of those that may be ordered. */
function engineFor ({ model, reason }: Want, engines: readonly PlannedEngine[], models: readonly PlannedModel[], fastestMs: number): PlannedEngine | undefined {
  const oldest = reason === LoadReason.NextVersion ? model.namedVersion : model.neededVersion
  let candidates = engines.filter(engine => engine.mayBeOrdered && engine.versionOf(model.model) < oldest)
  if (reason === LoadReason.ItemsWait) candidates = withRoom(candidates)
  return lowest(candidates, engine => loadCost(engine, model, models, fastestMs))
}

/** Engines with free slots, if there are any: what waits is to start there. */
function withRoom (engines: PlannedEngine[]): PlannedEngine[] {
  const free = engines.filter(({ freeSlotsCount }) => freeSlotsCount > 0)
  return free.length > 0 ? free : engines
}

function loadCost (engine: PlannedEngine, { model }: PlannedModel, models: readonly PlannedModel[], fastestMs: number): number {
  const sharingCount = models.filter(other => other.model !== model && engine.versionOf(other.model) >= other.neededVersion).length
  const occupiedShare = 1 - engine.freeSlotsCount / Math.max(1, engine.slotsCount)
  return engine.gapMs / fastestMs + SHARING_COST * sharingCount + OCCUPIED_COST * occupiedShare
}

function lowest<T> (values: readonly T[], costOf: (value: T) => number): T | undefined {
  let best: T | undefined
  let lowestCost = Number.POSITIVE_INFINITY
  for (const value of values) {
    const cost = costOf(value)
    if (cost >= lowestCost) continue
    best = value
    lowestCost = cost
  }
  return best
}
