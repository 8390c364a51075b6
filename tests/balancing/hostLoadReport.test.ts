import test from 'ava'
import { HostLoadReport, IDLE_LOAD } from '../../src/balancing/hostLoadReport.js'
import { LookupCallers } from '../../src/balancing/lookupCallers.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const SECOND_MS = 1_000
const VALIDITY_MS = 2_000

/** Takes a reading each second; returns the number of changed reports. */
function readFor (report: HostLoadReport, fromS: number, durationS: number, use: (second: number) => number, fleetUse = 0): number {
  let changesCount = 0
  for (let second = fromS; second < fromS + durationS; second++) {
    if (report.read({ nowMs: second * SECOND_MS, use: use(second), fleetUse })) changesCount++
  }
  return changesCount
}

test('should report nothing while a host is idle', t => {
  const report = new HostLoadReport()
  const random = seededRandom(1)
  t.is(readFor(report, 0, 600, () => 0.2 * random.real()), 0)
  t.is(report.report, IDLE_LOAD)
})

test('should not report again what changes by less than a step', t => {
  const report = new HostLoadReport()
  readFor(report, 0, 60, () => 0.4)
  const changesCount = readFor(report, 60, 600, second => (second % 2 === 0 ? 0.38 : 0.42))
  t.is(changesCount, 0)
  t.is(report.report.useSteps, 6)
})

test('should be overloaded after two readings at its limit, and no longer after two well below it', t => {
  const report = new HostLoadReport()
  readFor(report, 0, 10, () => 0.5, 0.5)
  readFor(report, 10, 1, () => 1, 0.5)
  t.is(report.report.isOverloaded, undefined)
  readFor(report, 11, 1, () => 1, 0.5)
  t.true(report.report.isOverloaded)
  readFor(report, 12, 1, () => 0.9, 0.5)
  t.true(report.report.isOverloaded)
  readFor(report, 13, 2, () => 0.5, 0.5)
  t.is(report.report.isOverloaded, undefined)
})

test('should back off while it is busier than the fleet, and take that back', t => {
  const report = new HostLoadReport()
  readFor(report, 0, 60, () => 0.9, 0.6)
  t.true(report.report.backOffSteps > 0)
  readFor(report, 60, 240, () => 0.3, 0.6)
  t.is(report.report.backOffSteps, 0)
})

test('should tell callers behind a shared address apart by port, and leave the others their identity', async t => {
  const clock = new VirtualClock()
  const callers = new LookupCallers(clock, VALIDITY_MS)
  const single = new Set<string>()
  const shared = new Set<string>()
  for (let renewal = 0; renewal < 20; renewal++) {
    single.add(callers.identify('10.0.0.1', 1_000 + renewal, 'a'))
    for (let port = 1; port <= 30; port++) shared.add(callers.identify('10.0.0.2', port, 'a'))
    await clock.advance(VALIDITY_MS)
  }
  t.is(single.size, 1)
  t.true(shared.size >= 30)
  t.is(callers.identify('10.0.0.2', 7, 'a'), callers.identify('10.0.0.2', 7, 'a'))
})
