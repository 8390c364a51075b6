import test from 'ava'
import { DutyLease } from '../../src/duties/dutyLease.js'
import { DutyWorld, LATE_MS, WINDOW_MS } from '../fixtures/dutyWorld.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const SEEDS_COUNT = 24
const DURATION_MS = 120_000

async function violationsOver (options = {}): Promise<string[]> {
  const violations: string[] = []
  for (let seed = 1; seed <= SEEDS_COUNT; seed++) violations.push(...(await new DutyWorld(seed, options).run(DURATION_MS)).infrastructure.violations)
  return violations
}

test('should report every window once, in time, under a single stable leader', async t => {
  const { infrastructure } = await new DutyWorld(1).run(DURATION_MS, true)
  const due = Math.floor((DURATION_MS - LATE_MS) / WINDOW_MS) - 1
  t.true(infrastructure.windows.size >= due - 1)
  t.is(infrastructure.callsCount, infrastructure.windows.size)
  t.deepEqual(infrastructure.violations, [])
})

test('should keep one holder at a time, increasing fencing numbers and one content per window over elections, freezes and lost answers', async t => {
  t.deepEqual(await violationsOver(), [])
})

test('should report the windows of times without a leader', async t => {
  const { infrastructure, ledger } = await new DutyWorld(3).run(DURATION_MS)
  const reported = [...infrastructure.windows.keys()].sort((left, right) => left - right)
  const [first = 0] = reported
  t.deepEqual(reported, reported.map((_, position) => first + position))
  t.true(reported.length >= 10)
  t.true((ledger.nextWindowId ?? 0) >= first + reported.length)
})

// Guards against a leader that acts immediately after another one, within its lease.
test('should detect leaders that do not wait for the lease of others', async t => {
  t.true((await violationsOver({ leaseMs: -1_000 })).some(text => text.includes('within the lease')))
})

// Guards against a leader that acts on a lease that expired while its process was frozen.
test('should detect leaders that act without holding a lease', async t => {
  t.true((await violationsOver({ ignoresLease: true })).length > 0)
})

test('should let the last holder of the duty continue at once when it is elected again', async t => {
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
