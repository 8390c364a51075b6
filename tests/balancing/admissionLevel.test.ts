import test from 'ava'
import { admissionLevelOf, GUARANTEED_SHARE, type ClassLevel } from '../../src/balancing/admissionLevel.js'
import { fullnessOf } from '../../src/balancing/serviceFigures.js'
import type { ClassDemand, ServiceTotals } from '../../src/protocol/serviceFigures.js'

const OBJECTIVE_MS = 152
const CAPACITY_PER_S = 1_200
const SLOTS_COUNT = 6
/** The load at which as much is let in as the capacity: as many wait as fit a quarter of the objective. */
const WAITING_PER_SLOT = 1.5
const WORK_MS = 25

function demand (priority: number, firstTriesPerS: number, changes: Partial<ClassDemand> = {}): ClassDemand {
  return { priority, firstTriesPerS, returnsPerS: 0, refusedPerS: 0, ...changes }
}

function totals (classes: ClassDemand[], answersPerS = CAPACITY_PER_S, waitingPerSlot = WAITING_PER_SLOT): ServiceTotals {
  const slotsPerS = answersPerS * SLOTS_COUNT
  const dataCentres = [{ dataCentre: 'north', answersPerS, durationsMsPerS: answersPerS * WORK_MS * (1 + waitingPerSlot), runningPerS: slotsPerS, waitingPerS: waitingPerSlot * slotsPerS, slotsPerS }]
  return { service: 'decks', countedAtWallMs: 0, hostsCount: 60, classes, dataCentres }
}

function levelOf (sum: ServiceTotals): ReturnType<typeof admissionLevelOf> {
  return admissionLevelOf(sum, fullnessOf(sum.dataCentres), OBJECTIVE_MS, true)
}

function classOf (sum: ServiceTotals, priority: number): ClassLevel {
  const level = levelOf(sum)
  const found = level.kind === 'cut' ? level.classes.get(priority) : undefined
  if (!found) throw new Error(`priority ${priority} is not cut: ${level.kind}`)
  return found
}

test('should let everybody in while demand is within the capacity', t => {
  t.is(levelOf(totals([demand(0, 300), demand(1, 800)])).kind, 'open')
})

test('should let the more urgent classes in first and cut the least urgent', t => {
  const sum = totals([demand(0, 360), demand(1, 720), demand(2, 720)])
  t.is(classOf(sum, 0).firstTriesShare, 1)
  t.is(classOf(sum, 1).firstTriesShare, 1)
  t.true(Math.abs(classOf(sum, 2).firstTriesShare - 120 / 720) < 0.02)
})

test('should give each priority that asks its guaranteed share, however much the more urgent ones ask', t => {
  const sum = totals([demand(0, 5_000), demand(1, 2_000), demand(2, 60)])
  t.true(classOf(sum, 1).firstTriesShare * 2_000 >= GUARANTEED_SHARE * CAPACITY_PER_S * 0.98)
  t.is(classOf(sum, 2).firstTriesShare, 1)
})

test('should let in as much as the capacity, whatever the classes ask', t => {
  for (const load of [1.1, 1.5, 3, 10]) {
    const classes = [demand(0, 0.2 * load * CAPACITY_PER_S), demand(1, 0.4 * load * CAPACITY_PER_S), demand(2, 0.4 * load * CAPACITY_PER_S)]
    const sum = totals(classes)
    const admittedPerS = classes.reduce((rate, { priority, firstTriesPerS }) => rate + firstTriesPerS * classOf(sum, priority).firstTriesShare, 0)
    t.true(Math.abs(admittedPerS / CAPACITY_PER_S - 1) < 0.02, `${load}: ${admittedPerS}`)
  }
})

test('should let first tries in before returns of the same priority', t => {
  const cut = classOf(totals([demand(0, 1_000, { returnsPerS: 800 })]), 0)
  t.is(cut.firstTriesShare, 1)
  t.true(Math.abs(cut.returnsPerS - 200) < 20, `${cut.returnsPerS}`)
})

test('should share a cut class max-min fairly among its accounts', t => {
  const accounts = [{ account: 'large', arrivalsPerS: 1_500 }, { account: 'small', arrivalsPerS: 200 }]
  const cut = classOf(totals([demand(1, 1_900, { accounts })]), 1)
  const admitted = (account: string): number => (cut.accountFactors.get(account) ?? 0) * cut.firstTriesShare
  t.is(Math.min(1, admitted('small')), 1)
  t.is(Math.min(1, cut.otherAccountsFactor * cut.firstTriesShare), 1)
  t.true(Math.abs(admitted('large') * 1_500 - (CAPACITY_PER_S - 400)) < 20, `${admitted('large')}`)
})

test('should let in less while more requests wait than fit the objective, and more while fewer do', t => {
  const allowedAt = (waitingPerSlot: number): number => {
    const level = levelOf(totals([demand(0, 5_000)], CAPACITY_PER_S, waitingPerSlot))
    return level.kind === 'cut' ? level.allowedPerS : Number.POSITIVE_INFINITY
  }
  t.true(allowedAt(0) > CAPACITY_PER_S)
  t.true(allowedAt(3) < 0.9 * CAPACITY_PER_S)
  t.true(allowedAt(8) >= 0.5 * CAPACITY_PER_S)
})

// Guards against one host, cut off with a few requests, whose own part of the capacity is no more than noise.
test('should not act on a sum of too few answers', t => {
  t.is(levelOf(totals([demand(0, 500)], 40)).kind, 'open')
})
