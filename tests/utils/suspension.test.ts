import test from 'ava'
import { SuspensionSense } from '../../src/utils/suspension.js'

class Clocks {
  steadyMs = 1_000
  wallMs = 1_700_000_000_000
  readonly sense = new SuspensionSense(() => this.steadyMs, () => this.wallMs)

  pass (steadyMs: number, wallMs = steadyMs): number {
    this.steadyMs += steadyMs
    this.wallMs += wallMs
    return this.sense.leaseNowMs()
  }
}

test('should go on by what the steady clock has missed', t => {
  const clocks = new Clocks()
  t.is(clocks.pass(500), 1_500)
  t.is(clocks.pass(10, 10_010), 11_510)
  t.is(clocks.pass(90), 11_600)
})

test('should not go back, nor stand still, when the time of day is set back', t => {
  const clocks = new Clocks()
  t.is(clocks.pass(100, -5_000), 1_100)
  t.is(clocks.pass(100), 1_200)
  t.is(clocks.pass(0, 5_000), 6_200, 'set ahead again, it looks like a suspension')
})

test('should take a clock that is slewed for no suspension', t => {
  const clocks = new Clocks()
  for (let minute = 1; minute <= 60; minute++) t.is(clocks.pass(60_000, 60_030), 1_000 + minute * 60_000)
})
