import test from 'ava'
import { DutyLease } from '../../src/duties/dutyLease.js'
import { DutyWorld, LATE_MS, WINDOW_MS } from '../fixtures/dutyWorld.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const SEEDS_COUNT = 24
const DURATION_MS = 120_000

async function violationsOver (options = {}): Promise<string[]> {
  const violations: string[] = []
  for (let seed = 1; seed <= SEEDS_COUNT; seed++) violations.push(...(await new DutyWorld(seed, options).run(DURATION_MS)).judge.violations)
  return violations
}

test('should report every window once, in time, under one calm leader', async t => {
  const { judge } = await new DutyWorld(1).run(DURATION_MS, true)
  const due = Math.floor((DURATION_MS - LATE_MS) / WINDOW_MS) - 1
  t.true(judge.windows.size >= due - 1)
  t.is(judge.callsCount, judge.windows.size)
  t.deepEqual(judge.violations, [])
})

test('should keep one holder at a time, rising fences and one content a window over elections, freezes and lost answers', async t => {
  t.deepEqual(await violationsOver(), [])
})

test('should report windows that were left over while nobody led', async t => {
  const { judge, ledger } = await new DutyWorld(3).run(DURATION_MS)
  const reported = [...judge.windows.keys()].sort((left, right) => left - right)
  const [first = 0] = reported
  t.deepEqual(reported, reported.map((_, position) => first + position))
  t.true(reported.length >= 10)
  t.true((ledger.nextWindowId ?? 0) >= first + reported.length)
})

// Guards against a leader that acts at once after another one.
test('should fail the model with leaders that do not wait for the lease of others', async t => {
  t.true((await violationsOver({ leaseMs: -1_000 })).some(text => text.includes('within the lease')))
})

// Guards against a leader that acts on a lease that ended while it was frozen.
test('should fail the model with leaders that act whatever their lease says', async t => {
  t.true((await violationsOver({ ignoresLease: true })).length > 0)
})

test('should let a host that held the duty last go on at once when it is elected again', async t => {
  const clock = new VirtualClock()
  const leadership = { term: 5, isHandingOver: false, holdsLease: () => true }
  let latest: string | undefined = 'c1'
  const lease = new DutyLease({ clock, leadership, holder: 'c1', latestHolder: () => latest, leaseMs: 3_000 })
  t.true(lease.mayAct)
  latest = 'c2'
  t.false(lease.mayAct)
  t.false(lease.mayClaim)
  await clock.advance(3_300)
  t.true(lease.mayClaim)
  t.false(lease.mayAct)
})
