/**
 * Choice among the endpoints of a service: 60 hosts before five endpoints, each host
 * with a request once in a while.
 */
import test from 'ava'
import { EndpointPool } from '../../src/endpoints/endpointPool.js'
import type { ReportedLoad } from '../../src/endpoints/endpointClient.js'
import { silentLogger } from '../../src/utils/logger.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { DATA_CENTRE, endpoint, viewOf } from '../fixtures/fleet/fleetFixtures.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const HOSTS_COUNT = 60
const ENDPOINTS_COUNT = 5
const REQUESTS_PER_HOST_COUNT = 50
const NONE: ReadonlySet<string> = new Set()

function poolOf (clock: VirtualClock, hostId: string | undefined, endpointsCount = ENDPOINTS_COUNT): EndpointPool {
  const view = viewOf(Array.from({ length: endpointsCount }, (_value, position) => endpoint(`e${position}`)))
  return new EndpointPool({ view, clock, random: seededRandom(3), dataCentre: DATA_CENTRE, ...(hostId === undefined ? {} : { hostId }), logger: silentLogger, metrics: memoryMetrics() })
}

function serviceOf (pool: EndpointPool): string {
  const service = endpoint('e0').service
  if (pool.ofService(service).length === 0) throw new Error('no endpoints')
  return service
}

/** Chooses for several requests, each of which takes 25 ms at any endpoint, and returns how many each endpoint got. */
async function choose (clock: VirtualClock, pool: EndpointPool, load?: ReportedLoad): Promise<Map<string, number>> {
  const service = serviceOf(pool)
  const counts = new Map<string, number>()
  for (let request = 0; request < REQUESTS_PER_HOST_COUNT; request++) {
    const chosen = pool.choose(service, NONE)
    if (!chosen) throw new Error('no endpoint was chosen')
    counts.set(chosen.endpointId, (counts.get(chosen.endpointId) ?? 0) + 1)
    pool.health(chosen.endpointId).succeeded(25, load)
    pool.recordDuration(service, 25)
    await clock.advance(200)
  }
  return counts
}

test('should use two endpoints a host while they answer as fast as the others, and all endpoints over all hosts', async t => {
  const clock = new VirtualClock()
  const used = new Map<string, number>()
  for (let host = 0; host < HOSTS_COUNT; host++) {
    const counts = await choose(clock, poolOf(clock, `h${host}`))
    t.true(counts.size <= 2, `${counts.size} endpoints`)
    for (const [endpointId, count] of counts) used.set(endpointId, (used.get(endpointId) ?? 0) + count)
  }
  t.is(used.size, ENDPOINTS_COUNT)
  const meanCount = HOSTS_COUNT * REQUESTS_PER_HOST_COUNT / ENDPOINTS_COUNT
  for (const [endpointId, count] of used) t.true(count >= meanCount / 2 && count <= 1.5 * meanCount, `${endpointId} got ${count} of a mean of ${meanCount}`)
})

test('should leave its two endpoints for others while both are busy', async t => {
  const clock = new VirtualClock()
  const pool = poolOf(clock, 'h1')
  const service = serviceOf(pool)
  const preferred = [...(await choose(clock, pool)).keys()]
  for (const endpointId of preferred) pool.health(endpointId).recordLoad({ runningCount: 6, waitingCount: 12, slotsCount: 6 })
  const chosen = pool.choose(service, NONE)
  t.false(preferred.includes(chosen?.endpointId ?? ''), chosen?.endpointId)
})

test('should avoid an endpoint whose machine is slowed down now, and use it again when the report is old', async t => {
  const clock = new VirtualClock()
  const pool = poolOf(clock, undefined, 2)
  const service = serviceOf(pool)
  for (const endpointId of ['e0', 'e1']) pool.health(endpointId).succeeded(25, undefined)
  pool.health('e0').recordLoad({ runningCount: 0, waitingCount: 0, slotsCount: 6, slowdownFactor: 2.5 })
  const during = new Set(Array.from({ length: 20 }, () => pool.choose(service, NONE)?.endpointId))
  await clock.advance(2_000)
  const after = new Set(Array.from({ length: 20 }, () => pool.choose(service, NONE)?.endpointId))
  t.deepEqual(during, new Set(['e1']))
  t.deepEqual(after, new Set(['e0', 'e1']))
})
