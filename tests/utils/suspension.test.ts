import test from 'ava'
import { SuspensionDetector } from '../../src/utils/suspension.js'

class Clocks {
  monotonicMs = 1_000
  wallMs = 1_700_000_000_000
  readonly detector = new SuspensionDetector(() => this.monotonicMs, () => this.wallMs)

  advance (monotonicMs: number, wallMs = monotonicMs): number {
    this.monotonicMs += monotonicMs
    this.wallMs += wallMs
    return this.detector.leaseNowMs()
  }
}

test('should advance by the time that the monotonic clock has missed', t => {
  const clocks = new Clocks()
  t.is(clocks.advance(500), 1_500)
  t.is(clocks.advance(10, 10_010), 11_510)
  t.is(clocks.advance(90), 11_600)
})

test('should neither go back nor stop when the wall clock is set back', t => {
  const clocks = new Clocks()
  t.is(clocks.advance(100, -5_000), 1_100)
  t.is(clocks.advance(100), 1_200)
  t.is(clocks.advance(0, 5_000), 6_200, 'set forward again, the wall clock looks like after a suspension')
})

test('should not mistake a slewed clock for a suspension', t => {
  const clocks = new Clocks()
  for (let minute = 1; minute <= 60; minute++) t.is(clocks.advance(60_000, 60_030), 1_000 + minute * 60_000)
})
