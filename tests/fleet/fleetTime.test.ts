import test from 'ava'
import { HostClocks } from '../../src/control/fleet/hostClocks.js'
import { UsageCounter } from '../../src/duties/usageCounter.js'
import { UsageTally } from '../../src/duties/usageTally.js'
import { FleetTime } from '../../src/fleet/fleetTime.js'
import { median } from '../../src/utils/median.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { HostClock } from '../fixtures/hostClock.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const WINDOW_MS = 5_000
const FOLLOW_INTERVAL_MS = 500
const ONE_WAY_MS = 2
const STEP_MS = 10

test('should compute the median of an odd and of an even number of values', t => {
  t.is(median([3, 1, 2]), 2)
  t.is(median([4, 1, 2, 3]), 2.5)
  t.is(median([7]), 7)
})

test('should use the answer with the shortest round trip, and the majority of the control hosts', async t => {
  const clock = new VirtualClock()
  await clock.advance(10_000)
  const time = new FleetTime(clock)
  t.is(time.wallAt(10_000), 10_000)
  time.addSample('c1', { fleetWallMs: 50_000, calledAtMs: 9_990, answeredAtMs: 10_000 })
  time.addSample('c1', { fleetWallMs: 50_900, calledAtMs: 9_000, answeredAtMs: 10_000 })
  time.addSample('c2', { fleetWallMs: 50_000, calledAtMs: 9_990, answeredAtMs: 10_000 })
  time.addSample('c3', { fleetWallMs: 99_000, calledAtMs: 9_990, answeredAtMs: 10_000 })
  t.is(time.wallAt(10_000), 50_005)
})

interface ControlHost {
  clock: HostClock
  hostClocks: HostClocks
  tally: UsageTally
}

/** Its time of day is correct at first. */
function controlHost (clock: HostClock): ControlHost {
  clock.shiftTimeOfDay(-clock.wallMs())
  return { clock, hostClocks: new HostClocks(clock), tally: new UsageTally() }
}

interface CountingHost {
  id: string
  own: HostClock
  time: FleetTime
  counter: UsageCounter
  isAlive: boolean
  /** Offset of its calls within the interval. */
  phaseMs: number
}

/** Calls each control host once and processes the answers. */
function followOnce ({ id, own, time, counter }: CountingHost, controls: ControlHost[]): void {
  for (const [position, { hostClocks, tally }] of controls.entries()) {
    hostClocks.record(id, own.wallMs() - ONE_WAY_MS)
    tally.addReport(id, counter.reportSince(0).report)
    time.addSample(String(position), { fleetWallMs: hostClocks.wallMs() - ONE_WAY_MS, calledAtMs: own.nowMs() - 2 * ONE_WAY_MS, answeredAtMs: own.nowMs() })
  }
}

function errorOf ([control]: ControlHost[], windowId: number, trueCount: number): number {
  return Math.abs((control?.tally.countsOf(windowId).a ?? 0) - trueCount) / trueCount
}

interface ErrorOptions {
  /** Share of hosts whose time of day is set 2 s ahead halfway. */
  steppedShare: number
  /** Number of hosts that are killed halfway, at most half a second after their last report. */
  killedCount: number
  /** Hosts count by their own clocks, to simulate a fault. */
  usesOwnClock?: boolean
}

/** Simulates sixty hosts that count ten requests a second and report to four control hosts, for a minute during which some clocks are off. */
class CountingSimulation {
  private readonly _clock = new VirtualClock()
  private readonly _random = seededRandom(11)
  private readonly _options: ErrorOptions
  private readonly _controls: ControlHost[]
  private readonly _hosts: CountingHost[]
  private readonly _truth = new Map<number, number>()

  constructor (options: ErrorOptions) {
    this._options = options
    this._controls = Array.from({ length: 4 }, () => controlHost(new HostClock(this._clock, this._random.int(0, 50_000))))
    this._hosts = Array.from({ length: 60 }, (_, position) => this._host(`e${position}`))
  }

  /** The largest relative error of the count of a window. */
  async worstError (): Promise<number> {
    for (let nowMs = 0; nowMs < 60_000; nowMs += STEP_MS) {
      await this._clock.advance(STEP_MS)
      if (nowMs === 30_000) this._disturb()
      for (const host of this._hosts) {
        if (host.isAlive && (nowMs + host.phaseMs) % FOLLOW_INTERVAL_MS < STEP_MS) followOnce(host, this._controls)
      }
      if (nowMs >= 2_000 && this._random.int(0, 9) === 0) this._request()
    }
    return Math.max(...[...this._truth].slice(1, -1).map(([windowId, count]) => errorOf(this._controls, windowId, count)))
  }

  private _host (id: string): CountingHost {
    const own = new HostClock(this._clock, this._random.int(0, 50_000))
    own.shiftTimeOfDay(-own.wallMs() + this._random.int(-20, 20))
    const time = new FleetTime(own)
    const wallAt = (nowMs: number): number => (this._options.usesOwnClock === true ? nowMs - own.nowMs() + own.wallMs() : time.wallAt(nowMs))
    const counter = new UsageCounter({ clock: own, windowMs: WINDOW_MS, wallAt, incarnation: 'x' })
    return { id, own, time, counter, isAlive: true, phaseMs: this._random.int(0, FOLLOW_INTERVAL_MS - 1) }
  }

  private _disturb (): void {
    const clocks = [...this._hosts.map(({ own }) => own), ...this._controls.map(({ clock }) => clock)]
    for (const clock of clocks.filter(() => this._random.real() < this._options.steppedShare)) clock.shiftTimeOfDay(2_000)
    for (const host of this._hosts.slice(0, this._options.killedCount)) host.isAlive = false
  }

  private _request (): void {
    const host = this._hosts[this._random.int(this._options.killedCount, this._hosts.length - 1)]
    const request = host?.counter.open('a')
    request?.began(host?.own.nowMs() ?? 0)
    request?.ended()
    const windowId = Math.floor(this._clock.nowMs() / WINDOW_MS)
    this._truth.set(windowId, (this._truth.get(windowId) ?? 0) + 1)
  }
}

async function worstError (options: ErrorOptions): Promise<number> {
  return await new CountingSimulation(options).worstError()
}

test('should count each window to a hundredth while clocks are near true time', async t => {
  t.true(await worstError({ steppedShare: 0, killedCount: 0 }) < 0.025)
})

test('should count each window to within 5 % while a third of the clocks is two seconds off and hosts are killed', async t => {
  t.true(await worstError({ steppedShare: 0.3, killedCount: 6 }) < 0.05)
})

// Guards against counting by the clock of each host.
test('should exceed the error bound with hosts that count by their own clocks', async t => {
  t.true(await worstError({ steppedShare: 0.3, killedCount: 0, usesOwnClock: true }) > 0.05)
})
