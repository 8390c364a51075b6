import test from 'ava'
import { UsageCounter } from '../../src/duties/usageCounter.js'
import { UsageLedger } from '../../src/duties/usageLedger.js'
import { UsageTally } from '../../src/duties/usageTally.js'
import { UsageCommandKind } from '../../src/protocol/usage.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const WINDOW_MS = 5_000

function counterOf (clock: VirtualClock, incarnation = 'first'): UsageCounter {
  return new UsageCounter({ clock, windowMs: WINDOW_MS, wallAt: nowMs => nowMs, incarnation })
}

test('should count a request in the window in which an endpoint started it', async t => {
  const clock = new VirtualClock()
  const counter = counterOf(clock)
  const request = counter.open('learners')
  await clock.advance(WINDOW_MS + 100)
  request.began(WINDOW_MS - 1)
  request.ended()
  const refused = counter.open('learners')
  refused.ended()
  t.deepEqual(counter.reportSince(0).report.windows, [{ windowId: 0, counts: { learners: 1 } }])
})

test('should report only what changed since a revision, as totals', async t => {
  const clock = new VirtualClock()
  const counter = counterOf(clock)
  counter.open('a').began(0)
  const { revision } = counter.reportSince(0)
  t.deepEqual(counter.reportSince(revision).report.windows, [])
  counter.open('a').began(1)
  t.deepEqual(counter.reportSince(revision).report.windows, [{ windowId: 0, counts: { a: 2 } }])
})

test('should not settle a window while a request that arrived in it is open', async t => {
  const clock = new VirtualClock()
  const counter = counterOf(clock)
  const request = counter.open('a')
  await clock.advance(2 * WINDOW_MS)
  t.is(counter.reportSince(0).report.settledBefore, 0)
  request.ended()
  t.is(counter.reportSince(0).report.settledBefore, 2)
})

test('should add up hosts and their incarnations, and ignore duplicate reports', t => {
  const tally = new UsageTally()
  const report = { incarnation: 'first', settledBefore: 0, windows: [{ windowId: 0, counts: { a: 2, constructor: 1 } }] }
  tally.addReport('h1', report)
  tally.addReport('h1', report)
  tally.addReport('h1', { incarnation: 'second', settledBefore: 1, windows: [{ windowId: 0, counts: { a: 1 } }] })
  tally.addReport('h2', { incarnation: 'x', settledBefore: 1, windows: [{ windowId: 0, counts: { b: 4 } }] })
  t.deepEqual(tally.countsOf(0), { a: 3, constructor: 1, b: 4 })
  t.true(tally.isSettled(0, ['h1', 'h2']))
  t.false(tally.isSettled(1, ['h1']))
  t.false(tally.isSettled(0, ['h3']))
  tally.forgetBefore(1)
  tally.addReport('h1', report)
  t.deepEqual(tally.countsOf(0), {})
})

test('should keep the content of a closed window, also over a snapshot', t => {
  const ledger = new UsageLedger()
  ledger.apply({ kind: UsageCommandKind.Claim, holder: 'c1' })
  ledger.apply({ kind: UsageCommandKind.Close, windowId: 7, counts: { a: 1 } })
  ledger.apply({ kind: UsageCommandKind.Close, windowId: 7, counts: { a: 2 } })
  ledger.apply({ kind: UsageCommandKind.Close, windowId: 8, counts: {} })
  const restored = new UsageLedger()
  restored.restore(structuredClone(ledger.snapshot()))
  t.is(restored.holder, 'c1')
  t.is(restored.nextWindowId, 9)
  t.deepEqual(restored.unreported, [{ windowId: 7, counts: { a: 1 } }, { windowId: 8, counts: {} }])
  restored.apply({ kind: UsageCommandKind.Reported, windowId: 7 })
  t.deepEqual(restored.unreported.map(({ windowId }) => windowId), [8])
})
