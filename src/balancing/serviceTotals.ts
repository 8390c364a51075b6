/**
 * Sums the figures of all hosts that use a service; kept by the one control host that
 * holds them. Entries expire with the age of the figures, however late they arrived.
 *
 * The load it answers: the demand for a full service, spread over so many hosts that
 * only the sum tells which class and which account presses, and by how much.
 */
import { FIGURES_LIFETIME_MS, heaviestAccounts, type AccountDemand, type ClassDemand, type DataCentreLoad, type ServiceFigures, type ServiceTotals } from '../protocol/serviceFigures.js'

/** Interval between two sums of a service that are told to hosts: shares follow a rush within a quarter of a second. */
const MIN_TELL_INTERVAL_MS = 250
/** The same while the sum changes by a lot, because a rush has begun or the figures of most hosts are still arriving. */
const MIN_RUSH_INTERVAL_MS = 50
const RUSH_CHANGE_SHARE = 0.25
/** Sums of a service that are told in any second, also in a rush. */
const MAX_TOLD_PER_S_COUNT = 6
const MS_PER_S = 1_000
/** A sum that has hardly changed is told again before it stops counting. */
const REPEAT_INTERVAL_MS = 1_000
/** Relative change of a rate that is worth a message. */
const MIN_CHANGE_SHARE = 0.05

export interface DueTotals {
  due: ServiceTotals[]
  /** Services of which there were no figures before. */
  begun: string[]
  /** Services of which the last figures have expired. */
  ended: string[]
}

interface Told {
  atMs: number
  /** When the latest sums were told, the oldest first. */
  timesMs: number[]
  totals: ServiceTotals
}

export class ServiceTotalsTable {
  /** Figures by service and host. */
  private readonly _figures = new Map<string, Map<string, ServiceFigures>>()
  private readonly _told = new Map<string, Told>()

  record (hostId: string, figures: ServiceFigures): void {
    const byHost = this._figures.get(figures.service) ?? new Map<string, ServiceFigures>()
    byHost.set(hostId, figures)
    this._figures.set(figures.service, byHost)
  }

  /**
   * The sums that are due to be told; marks them as told.
   * @param nowMs time of the monotonic clock
   * @param wallMs the fleet's time of day
   */
  takeDue (nowMs: number, wallMs: number): DueTotals {
    const ended = this._expire(wallMs)
    const due = [...this._figures.keys()].flatMap(service => this.totalsOf(service) ?? []).filter(totals => this._isDue(totals, nowMs))
    const begun = due.map(({ service }) => service).filter(service => !this._told.has(service))
    for (const totals of due) this._told.set(totals.service, { atMs: nowMs, totals, timesMs: [...this._toldWithinSecond(totals.service, nowMs), nowMs] })
    return { due, begun, ended }
  }

  /** The sum over all hosts; undefined without any. */
  totalsOf (service: string): ServiceTotals | undefined {
    const all = [...this._figures.get(service)?.values() ?? []]
    if (all.length === 0) return undefined
    return {
      service,
      hostsCount: all.length,
      countedAtWallMs: all.reduce((sum, { countedAtWallMs }) => sum + countedAtWallMs, 0) / all.length,
      classes: sumClasses(all.flatMap(({ classes }) => classes)),
      dataCentres: sumDataCentres(all.flatMap(({ dataCentres }) => dataCentres))
    }
  }

  /** @returns services without any figures left */
  private _expire (wallMs: number): string[] {
    const ended: string[] = []
    for (const [service, byHost] of this._figures) {
      for (const [hostId, { countedAtWallMs }] of byHost) if (Math.abs(wallMs - countedAtWallMs) > FIGURES_LIFETIME_MS) byHost.delete(hostId)
      if (byHost.size > 0) continue
      this._figures.delete(service)
      if (this._told.delete(service)) ended.push(service)
    }
    return ended
  }

  private _isDue (totals: ServiceTotals, nowMs: number): boolean {
    const told = this._told.get(totals.service)
    if (!told || nowMs - told.atMs >= REPEAT_INTERVAL_MS) return true
    const mayRush = nowMs - told.atMs >= MIN_RUSH_INTERVAL_MS && this._toldWithinSecond(totals.service, nowMs).length < MAX_TOLD_PER_S_COUNT
    if (mayRush && hasChanged(told.totals, totals, RUSH_CHANGE_SHARE)) return true
    return nowMs - told.atMs >= MIN_TELL_INTERVAL_MS && hasChanged(told.totals, totals)
  }

  private _toldWithinSecond (service: string, nowMs: number): number[] {
    return this._told.get(service)?.timesMs.filter(timeMs => timeMs > nowMs - MS_PER_S) ?? []
  }
}

/** Whether figures differ enough from those sent before to be sent again. */
export function hasChanged (before: ServiceFigures, after: ServiceFigures, minChangeShare = MIN_CHANGE_SHARE): boolean {
  const [ratesBefore, ratesAfter] = [ratesOf(before), ratesOf(after)]
  if (ratesBefore.size !== ratesAfter.size) return true
  return [...ratesAfter].some(([key, rate]) => Math.abs(rate - (ratesBefore.get(key) ?? 0)) > minChangeShare * rate)
}

/** The rates on which decisions rest. */
function ratesOf ({ classes, dataCentres }: ServiceFigures): Map<string, number> {
  return new Map([
    ...classes.map(({ priority, firstTriesPerS, returnsPerS }): [string, number] => [`class ${priority}`, firstTriesPerS + returnsPerS]),
    ...dataCentres.map(({ dataCentre, answersPerS }): [string, number] => [`answers ${dataCentre}`, answersPerS]),
    ...dataCentres.map(({ dataCentre, waitingPerS, slotsPerS }): [string, number] => [`load ${dataCentre}`, waitingPerS + slotsPerS])
  ])
}

function sumClasses (classes: readonly ClassDemand[]): ClassDemand[] {
  const sums = new Map<number, ClassDemand>()
  for (const demand of classes) {
    const sum = sums.get(demand.priority)
    sums.set(demand.priority, sum ? addClass(sum, demand) : demand)
  }
  return [...sums.values()].map(sum => (sum.accounts ? { ...sum, accounts: heaviestAccounts(sumAccounts(sum.accounts)) } : sum)).sort((left, right) => left.priority - right.priority)
}

function addClass (sum: ClassDemand, demand: ClassDemand): ClassDemand {
  const hasAccounts = sum.accounts !== undefined || demand.accounts !== undefined
  return {
    priority: sum.priority,
    firstTriesPerS: sum.firstTriesPerS + demand.firstTriesPerS,
    returnsPerS: sum.returnsPerS + demand.returnsPerS,
    refusedPerS: sum.refusedPerS + demand.refusedPerS,
    accounts: hasAccounts ? [...sum.accounts ?? [], ...demand.accounts ?? []] : undefined
  }
}

function sumAccounts (demands: readonly AccountDemand[]): AccountDemand[] {
  const sums = new Map<string, number>()
  for (const { account, arrivalsPerS } of demands) sums.set(account, (sums.get(account) ?? 0) + arrivalsPerS)
  return [...sums].map(([account, arrivalsPerS]) => ({ account, arrivalsPerS }))
}

function sumDataCentres (loads: readonly DataCentreLoad[]): DataCentreLoad[] {
  const sums = new Map<string, DataCentreLoad>()
  for (const load of loads) {
    const sum = sums.get(load.dataCentre)
    sums.set(load.dataCentre, sum ? addLoad(sum, load) : load)
  }
  return [...sums.values()]
}

function addLoad (sum: DataCentreLoad, load: DataCentreLoad): DataCentreLoad {
  return {
    dataCentre: sum.dataCentre,
    answersPerS: sum.answersPerS + load.answersPerS,
    durationsMsPerS: sum.durationsMsPerS + load.durationsMsPerS,
    runningPerS: sum.runningPerS + load.runningPerS,
    waitingPerS: sum.waitingPerS + load.waitingPerS,
    slotsPerS: sum.slotsPerS + load.slotsPerS
  }
}
