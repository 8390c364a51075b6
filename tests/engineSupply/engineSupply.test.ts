import test from 'ava'
import { DutyLease } from '../../src/duties/dutyLease.js'
import type { DutyOutcome } from '../../src/duties/infrastructure.js'
import { EngineSupply } from '../../src/engineSupply/engineSupply.js'
import { SupplyLedger } from '../../src/engineSupply/supplyLedger.js'
import { EndpointLifecycle, type FleetEndpoint } from '../../src/protocol/fleet.js'
import type { RoutingService } from '../../src/protocol/routing.js'
import { silentLogger } from '../../src/utils/logger.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { engine } from '../fixtures/fleet/fleetFixtures.js'
import { CheckedInfrastructure } from '../fixtures/checkedInfrastructure.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const LEASE_MS = 3_000
const BOOT_MS = 4_000
const service: RoutingService = {
  name: 'engines',
  healthPath: '/',
  maxConnectionsCount: 100,
  engine: { slotsCount: 8, kvCapacityTokens: 1_000, tokensPerEvent: 50, models: ['m'] },
  scaling: { minCount: 1, maxCount: 4, bootMs: BOOT_MS, reclaimablePrice: 0.15, prices: { north: 1, south: 1 } }
}

class SupplyWorld {
  readonly clock = new VirtualClock()
  readonly infrastructure = new CheckedInfrastructure(this.clock, seededRandom(1), LEASE_MS)
  readonly ledger = new SupplyLedger()
  readonly endpoints: FleetEndpoint[] = []
  /** Whether the infrastructure starts engines for an order. */
  startsEngines = true
  private _leader = new Scope('none')

  constructor () {
    for (const dataCentre of ['north', 'south']) this._start(dataCentre, false, 2)
  }

  /** Makes a host the leader. */
  lead (holder: string, term: number): void {
    this._leader.close('another leads')
    this._leader = new Scope(holder)
    const scope = this._leader
    const leadership = { term, isHandingOver: false, holdsLease: () => !scope.isClosed }
    const supply = new EngineSupply({
      clock: this.clock,
      logger: silentLogger,
      metrics: memoryMetrics(),
      lease: new DutyLease({ clock: this.clock, leadership, holder, latestHolder: () => this.ledger.holder, leaseMs: LEASE_MS }),
      ledger: this.ledger,
      infrastructure: this.infrastructure,
      holder,
      services: () => [service],
      endpointsOf: () => this.endpoints,
      needOf: () => ({ itemsCount: 64, slotsCount: 8 }),
      claim: async () => { this.ledger.claim(holder); return true },
      note: async order => { this.ledger.order(order); return true }
    })
    supply.run(scope).catch(() => {})
  }

  answer (outcome: DutyOutcome): void {
    this.infrastructure.answerOf = () => outcome
  }

  async advance (byMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < byMs; passedMs += 500) {
      const seenCount = this.infrastructure.orders.length
      await this.clock.advance(500)
      for (const { dataCentre, isReclaimable, desiredCount } of this.infrastructure.orders.slice(seenCount)) {
        if (this.startsEngines) this._start(dataCentre, isReclaimable, desiredCount - this.countOf(dataCentre, isReclaimable))
      }
    }
  }

  countOf (dataCentre: string, isReclaimable: boolean): number {
    return this.endpoints.filter(known => known.dataCentre === dataCentre && known.isReclaimable === isReclaimable && known.lifecycle === EndpointLifecycle.Ready).length
  }

  reclaim (dataCentre: string, isReclaimable: boolean): void {
    this.endpoints.splice(0, this.endpoints.length, ...this.endpoints.filter(known => known.dataCentre !== dataCentre || known.isReclaimable !== isReclaimable))
  }

  private _start (dataCentre: string, isReclaimable: boolean, count: number): void {
    for (let started = 0; started < count; started++) this.endpoints.push(engine(`e${this.endpoints.length}`, 1, { dataCentre, isReclaimable }))
  }
}

test('should order the engines that the work needs once, and no more while they are present', async t => {
  const world = new SupplyWorld()
  world.lead('s1', 1)
  await world.advance(60_000)
  t.deepEqual(world.infrastructure.orders.map(({ dataCentre, isReclaimable, desiredCount }) => [dataCentre, isReclaimable, desiredCount]), [['north', true, 2], ['south', true, 2]])
  t.deepEqual(world.infrastructure.violations, [])
})

test('should repeat an order that got no definite answer, with the same content', async t => {
  const world = new SupplyWorld()
  world.startsEngines = false
  world.answer({ kind: 'unknown', reason: 'lost' })
  world.lead('s1', 1)
  await world.advance(12_000)
  t.true(world.infrastructure.orders.length > 2)
  t.deepEqual([...new Set(world.infrastructure.orders.map(({ desiredCount }) => desiredCount))], [2])
})

test('should order reclaimed engines again, and only rarely in a data centre without capacity', async t => {
  const world = new SupplyWorld()
  world.lead('s1', 1)
  await world.advance(10_000)
  world.reclaim('north', true)
  world.answer({ kind: 'conflict' })
  world.startsEngines = false
  const orderedCount = world.infrastructure.orders.length
  await world.advance(20_000)
  const retriesCount = world.infrastructure.orders.length - orderedCount
  t.true(retriesCount >= 2 && retriesCount <= 5, String(retriesCount))
  world.answer({ kind: 'done' })
  world.startsEngines = true
  await world.advance(10_000)
  t.is(world.countOf('north', true), 2)
})

// Guards against two leaders that order alternately, and against a new leader that does not know the earlier orders.
test('should let one host at a time send orders over changes of the leader, with the same content', async t => {
  const world = new SupplyWorld()
  world.answer({ kind: 'tooMany' })
  world.startsEngines = false
  for (let term = 1; term <= 30; term++) {
    world.lead(`s${term % 3}`, term)
    await world.advance(term % 4 === 0 ? 6_000 : 1_000)
  }
  t.true(world.infrastructure.callsCount > 10)
  t.deepEqual(world.infrastructure.violations, [])
  t.deepEqual([...new Set(world.infrastructure.orders.map(({ desiredCount }) => desiredCount))], [2])
})
