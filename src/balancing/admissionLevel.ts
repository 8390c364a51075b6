/**
 * The share of each class of requests that a full service lets in: the more urgent
 * class first, a guaranteed share for every priority that asks, first tries before
 * returns, and accounts alike within a class that is cut. A pure function, so that
 * all hosts derive the same shares from the same sum.
 *
 * The load it answers: demand at 1.5 to 3 times the room of a service, from callers of
 * several priorities and accounts. Without it every class loses alike, and the urgent
 * ones miss their objective behind requests that could have been refused at once.
 */
import { fairLevelPerS, type Demand } from './fairShares.js'
import { fullnessOf, type Fullness } from './serviceFigures.js'
import type { ClassDemand, DataCentreLoad, ServiceTotals } from '../protocol/serviceFigures.js'

/** Share of the capacity that each priority which asks for it gets. */
export const GUARANTEED_SHARE = 0.1
/** The same for returns within what their priority gets: hardly one of them is answered within the objective, and each takes the place of a first try that is. */
const GUARANTEED_RETURNS_SHARE = 0.02
/** Room that comes for returns even while first tries take all of it, for the order in which callers come back. */
const MIN_RETURN_ROOM_SHARE = 0.1
/** Sums of fewer answers vary too much between two of them to be acted on. */
const MIN_ANSWERS_PER_S = 50
/** A service begins to refuse only when demand is above the capacity, no slot is free and requests wait; in a rush, before they do. */
const MIN_EXCESS_SHARE = 0.02
const RUSH_EXCESS_SHARE = 0.25
const FULL_RUNNING_SHARE = 0.95
const FULL_WAITING_PER_SLOT = 0.5
/** Requests at the endpoints wait at most this share of the objective; the rest is left for their work and its variance. */
const MAX_WAIT_OBJECTIVE_SHARE = 0.25
/** With fewer waiting, endpoints run out of work between two requests; with more, callers wait for nothing. */
const MIN_WAITING_PER_SLOT = 0.25
const MAX_WAITING_PER_SLOT = 1.5
/** How much more or less than the capacity is let in when the requests that wait are off their target by as much again. */
const CORRECTION_SHARE = 0.15
/** With more than twice the target waiting, a rush has come in before the shares were known: it is worked off first. */
const CLEARING_SHARE = 0.7
const MIN_CORRECTION_SHARE = -0.5

/** What is let in of a class. */
export interface ClassLevel {
  /** 0 to 1. */
  firstTriesShare: number
  /** A rate, as returns multiply when refusals begin, before any sum tells of them; infinite where the class is not cut. */
  returnsPerS: number
  /** Factor on the share of first tries for the named accounts. */
  accountFactors: ReadonlyMap<string, number>
  /** The same for all other accounts. */
  otherAccountsFactor: number
}

export type AdmissionLevel =
  /** Everybody is let in. */
  | { kind: 'open' }
  | {
    kind: 'cut'
    capacityPerS: number
    /** What is let in, corrected by the requests that wait. */
    allowedPerS: number
    demandPerS: number
    /** What is left over from first tries, at least the guaranteed share. */
    roomForReturnsPerS: number
    /** By priority. */
    classes: ReadonlyMap<number, ClassLevel>
  }

/**
 * @param fullness the freshest load of the endpoints; the sum may be some calls old
 * @param objectiveMs the shortest objective of the routes that use the service
 * @param wasCut whether requests are refused already
 */
export function admissionLevelOf (totals: ServiceTotals, fullness: Fullness, objectiveMs: number, wasCut: boolean): AdmissionLevel {
  const capacityPerS = capacityPerSOf(totals.dataCentres)
  const answersPerS = totals.dataCentres.reduce((sum, load) => sum + load.answersPerS, 0)
  const demandPerS = totals.classes.reduce((sum, demand) => sum + demandOf(demand), 0)
  if (answersPerS < MIN_ANSWERS_PER_S) return { kind: 'open' }
  const minExcessShare = isFull(fullness) ? MIN_EXCESS_SHARE : RUSH_EXCESS_SHARE
  if (!wasCut && demandPerS <= (1 + minExcessShare) * capacityPerS) return { kind: 'open' }
  const allowedPerS = capacityPerS * correctionFactor(totals.dataCentres, fullness, objectiveMs)
  if (demandPerS <= allowedPerS) return { kind: 'open' }
  const granted = grantedPerS(totals.classes, allowedPerS)
  const firstTriesPerS = totals.classes.reduce((sum, demand) => sum + Math.min(demand.firstTriesPerS, granted.get(demand.priority) ?? 0), 0)
  return {
    kind: 'cut',
    capacityPerS,
    allowedPerS,
    demandPerS,
    roomForReturnsPerS: Math.max(MIN_RETURN_ROOM_SHARE * allowedPerS, allowedPerS - firstTriesPerS),
    classes: new Map(totals.classes.map(demand => [demand.priority, classLevelOf(demand, granted.get(demand.priority) ?? 0)]))
  }
}

function isFull ({ runningShare, waitingPerSlot }: Fullness): boolean {
  return runningShare >= FULL_RUNNING_SHARE && waitingPerSlot >= FULL_WAITING_PER_SLOT
}

/** Answers as there would be if all slots were taken, in each data centre. */
function capacityPerSOf (dataCentres: readonly DataCentreLoad[]): number {
  return dataCentres.reduce((sum, { answersPerS, slotsPerS, runningPerS }) => sum + answersPerS * (runningPerS > 0 ? slotsPerS / runningPerS : 1), 0)
}

/** Lets in more than the capacity while fewer requests wait than fit the objective, and less while more do. */
function correctionFactor (dataCentres: readonly DataCentreLoad[], { waitingPerSlot }: Fullness, objectiveMs: number): number {
  const targetPerSlot = targetWaitingPerSlot(dataCentres, objectiveMs)
  const error = (targetPerSlot - waitingPerSlot) / targetPerSlot
  const clearing = CLEARING_SHARE * Math.min(0, error + 1)
  return 1 + Math.max(MIN_CORRECTION_SHARE, CORRECTION_SHARE * Math.max(-1, error) + clearing)
}

/** A request waits its own duration without waiting for each one that waits before the same slot. */
function targetWaitingPerSlot (dataCentres: readonly DataCentreLoad[], objectiveMs: number): number {
  const { waitingPerSlot } = fullnessOf(dataCentres)
  const answersPerS = dataCentres.reduce((sum, load) => sum + load.answersPerS, 0)
  const durationMs = dataCentres.reduce((sum, load) => sum + load.durationsMsPerS, 0) / Math.max(1, answersPerS)
  const workMs = Math.max(1, durationMs / (1 + waitingPerSlot))
  return Math.min(MAX_WAITING_PER_SLOT, Math.max(MIN_WAITING_PER_SLOT, MAX_WAIT_OBJECTIVE_SHARE * objectiveMs / workMs))
}

function demandOf ({ firstTriesPerS, returnsPerS }: ClassDemand): number {
  return firstTriesPerS + returnsPerS
}

/** What each priority gets: first its guaranteed share, then what the more urgent ones leave over. */
function grantedPerS (classes: readonly ClassDemand[], allowedPerS: number): Map<number, number> {
  const guaranteedPerS = allowedPerS * Math.min(GUARANTEED_SHARE, 1 / Math.max(1, classes.length))
  const granted = new Map(classes.map(demand => [demand.priority, Math.min(demandOf(demand), guaranteedPerS)]))
  let remainingPerS = allowedPerS - [...granted.values()].reduce((sum, rate) => sum + rate, 0)
  for (const demand of [...classes].sort((left, right) => left.priority - right.priority)) {
    const ownPerS = granted.get(demand.priority) ?? 0
    const furtherPerS = Math.min(demandOf(demand) - ownPerS, remainingPerS)
    granted.set(demand.priority, ownPerS + furtherPerS)
    remainingPerS -= furtherPerS
  }
  return granted
}

/** First tries can still be answered within the objective, counted from when the caller first asked; most returns cannot. */
function classLevelOf (demand: ClassDemand, grantedPerS: number): ClassLevel {
  const { firstTriesPerS, returnsPerS } = demand
  const isCut = grantedPerS < demandOf(demand)
  const roomPerS = Math.max(GUARANTEED_RETURNS_SHARE * grantedPerS, grantedPerS - firstTriesPerS)
  return {
    firstTriesShare: shareOf(grantedPerS - Math.min(roomPerS, returnsPerS), firstTriesPerS),
    returnsPerS: isCut ? roomPerS : Number.POSITIVE_INFINITY,
    ...accountFactorsOf(demand, grantedPerS)
  }
}

function shareOf (grantedPerS: number, demandPerS: number): number {
  return Math.min(1, grantedPerS / Math.max(demandPerS, Number.EPSILON))
}

/** Accounts that are not named are each lighter than the lightest named one, which tells how many they are at least. */
function accountFactorsOf (demand: ClassDemand, grantedPerS: number): Pick<ClassLevel, 'accountFactors' | 'otherAccountsFactor'> {
  const accounts = demand.accounts ?? []
  const demandPerS = demandOf(demand)
  const namedPerS = accounts.reduce((sum, { arrivalsPerS }) => sum + arrivalsPerS, 0)
  const othersPerS = Math.max(0, demandPerS - namedPerS)
  const lightestPerS = accounts.at(-1)?.arrivalsPerS ?? othersPerS
  const othersCount = Math.max(1, Math.ceil(othersPerS / Math.max(lightestPerS, Number.EPSILON)))
  const others: Demand = { demandPerS: othersPerS, partiesCount: othersCount }
  const levelPerS = fairLevelPerS([...accounts.map(({ arrivalsPerS }) => ({ demandPerS: arrivalsPerS, partiesCount: 1 })), others], grantedPerS)
  const classShare = grantedPerS / Math.max(demandPerS, Number.EPSILON)
  const factorOf = (ratePerS: number): number => (classShare > 0 ? Math.min(1, levelPerS / Math.max(ratePerS, Number.EPSILON)) / classShare : 1)
  return {
    accountFactors: new Map(accounts.map(({ account, arrivalsPerS }) => [account, factorOf(arrivalsPerS)])),
    otherAccountsFactor: factorOf(othersPerS / othersCount)
  }
}
