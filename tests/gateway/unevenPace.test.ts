/**
 * Endpoints on machines shared with other programs, which slow each of them down 2.5
 * times by turns every 600 ms, for 0.15 of the time; four hosts forward requests.
 */
import test from 'ava'
import type { EndpointOutcome, ReportedLoad } from '../../src/endpoints/endpointClient.js'
import { EndpointPool } from '../../src/endpoints/endpointPool.js'
import { RequestForwarder } from '../../src/gateway/requestForwarder.js'
import { silentLogger } from '../../src/utils/logger.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Progress } from '../../src/utils/progress.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { DATA_CENTRE, endpoint, HOST, route, viewOf } from '../fixtures/fleet/fleetFixtures.js'
import { quarantineOf } from '../fixtures/fleet/quarantineFixtures.js'
import { answered, ScriptedEndpoints } from '../fixtures/fleet/scriptedEndpoints.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const ENDPOINTS_COUNT = 5
const HOSTS_COUNT = 4
const SLOTS_COUNT = 6
const PERIOD_MS = 600
const SLOW_SHARE = 0.15
const SLOWDOWN_FACTOR = 2.5
const MEAN_WORK_MS = 25
const REQUESTS_COUNT = 4_000
const REQUEST_INTERVAL_MS = 4

/** Whether the machine of an endpoint is slowed down; the moments of the endpoints do not coincide. */
function isSlow (position: number, atMs: number): boolean {
  return (atMs + position * PERIOD_MS / ENDPOINTS_COUNT) % PERIOD_MS < SLOW_SHARE * PERIOD_MS
}

/** The 0.99 quantile of the time to the answer. */
async function p99Ms (seed: number, isSlowdownReported: boolean): Promise<number> {
  const clock = new VirtualClock()
  const random = seededRandom(seed)
  const view = viewOf(Array.from({ length: ENDPOINTS_COUNT }, (_value, position) => endpoint(`e${position}`, { slotsCount: SLOTS_COUNT })))
  const endpoints = new ScriptedEndpoints(clock)
  const running = Array.from({ length: ENDPOINTS_COUNT }, () => 0)
  endpoints.onCall = ({ endpoint: { endpointId } }) => {
    const position = Number(endpointId.slice(1))
    const factor = isSlow(position, clock.nowMs()) ? SLOWDOWN_FACTOR : 1
    const afterMs = factor * MEAN_WORK_MS * (0.5 + random.real())
    running[position] = (running[position] ?? 0) + 1
    clock.callAt(clock.nowMs() + afterMs, () => { running[position] = (running[position] ?? 0) - 1 })
    const load = (): ReportedLoad => {
      const now = isSlow(position, clock.nowMs()) ? SLOWDOWN_FACTOR : 1
      return { runningCount: running[position] ?? 0, waitingCount: 0, slotsCount: SLOTS_COUNT, ...(isSlowdownReported ? { slowdownFactor: now } : {}) }
    }
    // The load is that of the moment of the answer.
    const outcome = { ...answered(), get load () { return load() } } as EndpointOutcome
    return { afterMs, outcome }
  }
  const forwarders = Array.from({ length: HOSTS_COUNT }, (_value, host) => {
    const pool = new EndpointPool({ view, clock, random, dataCentre: DATA_CENTRE, ...(isSlowdownReported ? { hostId: `h${host}` } : {}), logger: silentLogger, metrics: memoryMetrics() })
    return new RequestForwarder({ view, pool, client: endpoints, quarantine: quarantineOf(view, clock, endpoints), random, logger: silentLogger, metrics: memoryMetrics() })
  })
  const durationsMs: number[] = []
  for (let request = 0; request < REQUESTS_COUNT; request++) {
    const startedAtMs = clock.nowMs()
    const progress = new Progress(clock, new Scope('caller'), startedAtMs + 1_500)
    const forwarded = { route: route(), method: 'POST', path: '/open/7', host: HOST, headers: [], body: new Uint8Array(), attemptId: `a${request}`, progress }
    const ended = forwarders[request % HOSTS_COUNT]?.forward(forwarded)
    ended?.then(() => durationsMs.push(clock.nowMs() - startedAtMs)).catch(() => {})
    await clock.advance(REQUEST_INTERVAL_MS)
  }
  await clock.advance(2_000)
  durationsMs.sort((left, right) => left - right)
  return durationsMs[Math.floor(0.99 * durationsMs.length)] ?? Number.NaN
}

// The choice went by the mean of seconds, so that requests ran into machines that were slowed down for a moment.
test('should answer at least a quarter faster at the 0.99 quantile when endpoints report that their machine is slowed down', async t => {
  for (const seed of [1, 2, 3]) {
    const [unreportedMs, reportedMs] = [await p99Ms(seed, false), await p99Ms(seed, true)]
    t.true(reportedMs <= 0.75 * unreportedMs, `seed ${seed}: ${reportedMs} ms with reports, ${unreportedMs} ms without`)
  }
})
