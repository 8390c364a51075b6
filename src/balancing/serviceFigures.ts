/**
 * What one host counts of one service: arrivals and refusals by class and account,
 * and the load that endpoints report with their answers, by data centre.
 *
 * The load it answers: many hosts before few endpoints, each host with a part of the
 * demand that is too small to tell how full the service is or who presses.
 */
import { COUNT_WINDOW_MS, SlidingCounts } from './slidingCounts.js'
import { heaviestAccounts, type AccountDemand, type ClassDemand, type DataCentreLoad, type ServiceFigures } from '../protocol/serviceFigures.js'
import type { Clock } from '../utils/clock.js'

/** Requests running and waiting at an endpoint, and its slots, as the endpoint reports them. */
export interface EndpointLoad {
  runningCount: number
  waitingCount: number
  slotsCount: number
}

/** An answer of an endpoint, or its refusal for lack of a slot, with the load that it reported. */
export interface LoadSample {
  dataCentre: string
  durationMs: number
  load: EndpointLoad
}

export interface Arrival {
  priority: number
  account: string | undefined
  /** The caller was refused before and has come back. */
  isReturn: boolean
}

/** Load relative to slots. */
export interface Fullness {
  /** Share of the slots that run a request. */
  runningShare: number
  /** Requests waiting, for each slot. */
  waitingPerSlot: number
  /** Answers that the figures rest on. */
  samplesCount: number
}

/** Half a request waits for each slot: no free slot will be found for half the duration of a request. */
const PRESSURE_WAITING_PER_SLOT = 0.5
/** Demand is taken from this time, as it may triple at once; load is averaged over more. */
const DEMAND_WINDOW_MS = 250
/** Load that endpoints reported within this time, some durations of a request long, tells whether there is room now. */
export const RECENT_LOAD_MS = 300
/** Fewer answers say little: a single endpoint may be full by chance. */
export const MIN_SAMPLES_COUNT = 3
/** Below both, a service has room for everybody: slots are free at any moment, and hardly a request waits. */
const ROOM_RUNNING_SHARE = 0.85
const ROOM_WAITING_PER_SLOT = 0.2

enum LoadField {
  Answers = 'answers',
  Durations = 'durations',
  Running = 'running',
  Waiting = 'waiting',
  Slots = 'slots'
}

const KEY_SEPARATOR = '\n'

function keyOf (first: string | number, second: string): string {
  return `${first}${KEY_SEPARATOR}${second}`
}

export class ServiceFiguresCounter {
  private readonly _clock: Clock
  private readonly _firstTries: SlidingCounts
  private readonly _returns: SlidingCounts
  private readonly _refusals: SlidingCounts
  private readonly _accounts: SlidingCounts
  private readonly _loads: SlidingCounts
  private _refusedByEndpointAtMs = Number.NEGATIVE_INFINITY

  constructor (clock: Clock) {
    this._clock = clock
    this._firstTries = new SlidingCounts(clock)
    this._returns = new SlidingCounts(clock)
    this._refusals = new SlidingCounts(clock)
    this._accounts = new SlidingCounts(clock)
    this._loads = new SlidingCounts(clock)
  }

  arrived ({ priority, account, isReturn }: Arrival): void {
    const counts = isReturn ? this._returns : this._firstTries
    counts.add(String(priority))
    if (account !== undefined) this._accounts.add(keyOf(priority, account))
  }

  /** Records that this host refused a request for lack of room. */
  refused ({ priority }: Arrival): void {
    this._refusals.add(String(priority))
  }

  answered ({ dataCentre, durationMs, load }: LoadSample): void {
    this._loads.add(keyOf(LoadField.Answers, dataCentre))
    this._loads.add(keyOf(LoadField.Durations, dataCentre), durationMs)
    this._addLoad(dataCentre, load)
  }

  /** Records that an endpoint refused a request for lack of a slot. */
  refusedByEndpoint (): void {
    this._refusedByEndpointAtMs = this._clock.nowMs()
  }

  /** Whether the service lacks room, by the calls of this host alone. */
  get isUnderPressure (): boolean {
    const { waitingPerSlot, samplesCount } = this.fullness(RECENT_LOAD_MS)
    const isFull = samplesCount >= MIN_SAMPLES_COUNT && waitingPerSlot >= PRESSURE_WAITING_PER_SLOT
    return isFull || this._clock.nowMs() - this._refusedByEndpointAtMs < COUNT_WINDOW_MS
  }

  /** @param withinMs how far back the figures go */
  fullness (withinMs = COUNT_WINDOW_MS): Fullness {
    return fullnessOf(this._dataCentres(withinMs), withinMs)
  }

  current (service: string, countedAtWallMs: number): ServiceFigures {
    return { service, countedAtWallMs, classes: this._classes(), dataCentres: this._dataCentres(COUNT_WINDOW_MS) }
  }

  private _addLoad (dataCentre: string, { runningCount, waitingCount, slotsCount }: EndpointLoad): void {
    // An endpoint may not count the request that it has just answered; another one takes its slot where one waits.
    this._loads.add(keyOf(LoadField.Running, dataCentre), waitingCount > 0 ? slotsCount : Math.min(runningCount, slotsCount))
    this._loads.add(keyOf(LoadField.Waiting, dataCentre), waitingCount)
    this._loads.add(keyOf(LoadField.Slots, dataCentre), slotsCount)
  }

  private _classes (): ClassDemand[] {
    const [firstTries, returns, refusals] = [this._firstTries, this._returns, this._refusals].map(counts => counts.ratesPerS(DEMAND_WINDOW_MS))
    const accounts = this._accountsByPriority()
    const priorities = new Set([...firstTries?.keys() ?? [], ...returns?.keys() ?? []])
    return [...priorities].map(priority => ({
      priority: Number(priority),
      firstTriesPerS: firstTries?.get(priority) ?? 0,
      returnsPerS: returns?.get(priority) ?? 0,
      refusedPerS: refusals?.get(priority) ?? 0,
      accounts: accounts.get(priority)
    }))
  }

  private _accountsByPriority (): Map<string, AccountDemand[]> {
    const byPriority = new Map<string, AccountDemand[]>()
    for (const [key, arrivalsPerS] of this._accounts.ratesPerS()) {
      const [priority = '', account = ''] = key.split(KEY_SEPARATOR)
      byPriority.set(priority, [...byPriority.get(priority) ?? [], { account, arrivalsPerS }])
    }
    for (const [priority, demands] of byPriority) byPriority.set(priority, heaviestAccounts(demands))
    return byPriority
  }

  private _dataCentres (withinMs: number): DataCentreLoad[] {
    const rates = this._loads.ratesPerS(withinMs)
    const names = new Set([...rates.keys()].map(key => key.split(KEY_SEPARATOR)[1] ?? ''))
    const rateOf = (field: LoadField, dataCentre: string): number => rates.get(keyOf(field, dataCentre)) ?? 0
    return [...names].map(dataCentre => ({
      dataCentre,
      answersPerS: rateOf(LoadField.Answers, dataCentre),
      durationsMsPerS: rateOf(LoadField.Durations, dataCentre),
      runningPerS: rateOf(LoadField.Running, dataCentre),
      waitingPerS: rateOf(LoadField.Waiting, dataCentre),
      slotsPerS: rateOf(LoadField.Slots, dataCentre)
    }))
  }
}

const MS_PER_S = 1_000

/** @param withinMs the time over which the load was counted */
export function fullnessOf (dataCentres: readonly DataCentreLoad[], withinMs = COUNT_WINDOW_MS): Fullness {
  const sumOf = (valueOf: (load: DataCentreLoad) => number): number => dataCentres.reduce((sum, load) => sum + valueOf(load), 0)
  const slotsPerS = Math.max(Number.EPSILON, sumOf(load => load.slotsPerS))
  return {
    runningShare: sumOf(load => load.runningPerS) / slotsPerS,
    waitingPerSlot: sumOf(load => load.waitingPerS) / slotsPerS,
    samplesCount: Math.round(sumOf(load => load.answersPerS) * withinMs / MS_PER_S)
  }
}

/** Whether the service has room for more than it runs. */
export function hasRoom ({ runningShare, waitingPerSlot }: Fullness): boolean {
  return runningShare < ROOM_RUNNING_SHARE && waitingPerSlot < ROOM_WAITING_PER_SLOT
}
