import test from 'ava'
import { MIN_LISTED_COUNT, selectHosts } from '../../src/balancing/hostSelection.js'
import { HostRole, type FleetHost, type HostLoad } from '../../src/protocol/fleet.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { CallerSpreadWorld, UNEVEN_CAPACITIES } from '../fixtures/callerSpreadWorld.js'

const USUAL_CALLERS_COUNT = 66
const PRESSED_FACTOR = 8
const CALLERS = [USUAL_CALLERS_COUNT * PRESSED_FACTOR, USUAL_CALLERS_COUNT, USUAL_CALLERS_COUNT]
const PRESSED_USE = 0.75
const SETTLE_S = 60
const MEASURED_S = 180
const MAX_DEVIATION = 0.15
const MAX_ADDRESSES_COUNT = 64

function host (number: number, capacity: number | undefined, load?: HostLoad, dataCentre = 'north'): FleetHost {
  return { hostId: `h${number}`, hostName: `h${number}`, dataCentre, role: HostRole.Entry, isServing: true, callerAddress: `10.0.0.${number}:80`, capacity, load }
}

function unevenHosts (): FleetHost[] {
  return UNEVEN_CAPACITIES.map((capacity, number) => host(number, capacity))
}

function idsFor (hosts: FleetHost[], identity: string, { wallMs = 0, dataCentre = 'south', seed = 1 } = {}): string[] {
  return selectHosts({ hosts, caller: { identity, dataCentre }, wallMs, maxCount: MAX_ADDRESSES_COUNT, random: seededRandom(seed) }).map(({ hostId }) => hostId)
}

const SEEDS = [1, 2, 3]
/** Seed 14: the slowed host, of 0.08 cores, gets a third too much. Four callers that stay connected are all that it can serve; it leaves the lists and comes back in turns. */
const SMALL_SLOWED_SEEDS = [...SEEDS, 14]
/** Seed 12 is over the bound; not traced. */
const STABILITY_SEEDS = [1, 12]

for (const seed of SEEDS) {
  test(`should load hosts by capacity when one data centre presses at eight times the usual, seed ${seed}`, t => {
    const world = new CallerSpreadWorld({ capacities: UNEVEN_CAPACITIES, callersPerDataCentre: CALLERS, fleetUse: PRESSED_USE, seed })
    world.run(SETTLE_S)
    world.resetCounts()
    world.run(MEASURED_S)
    const ratios = world.loadRatios()
    t.log(`${Math.min(...ratios).toFixed(3)} to ${Math.max(...ratios).toFixed(3)}`)
    for (const ratio of ratios) t.true(Math.abs(ratio - 1) <= MAX_DEVIATION, `${ratio}`)
  })
}

for (const [size, slowedHost, seeds] of [['large', 0, SEEDS], ['small', 59, SMALL_SLOWED_SEEDS]] as const) {
  for (const seed of seeds) {
    test(`should load hosts by what they can do with one frozen and a ${size} one slowed to a third, seed ${seed}`, t => {
      const world = new CallerSpreadWorld({ capacities: UNEVEN_CAPACITIES, callersPerDataCentre: CALLERS, fleetUse: PRESSED_USE, seed })
      world.run(SETTLE_S)
      const slowed = world.hosts[slowedHost]
      const frozen = world.hosts[7]
      if (slowed) slowed.slowdown = 3
      if (frozen) frozen.frozenAtS = SETTLE_S
      world.run(SETTLE_S)
      world.resetCounts()
      world.run(MEASURED_S)
      const ratios = world.loadRatios()
      t.log(`${Math.min(...ratios).toFixed(3)} to ${Math.max(...ratios).toFixed(3)}, slowed ${ratios[slowedHost > 7 ? slowedHost - 1 : slowedHost]?.toFixed(3)}, ${world.reportsCount} reports`)
      for (const ratio of ratios) t.true(Math.abs(ratio - 1) <= MAX_DEVIATION, `${ratio}`)
    })
  }
}

test('should name all hosts in their order where they are alike, or where one tells no capacity', t => {
  const alike = Array.from({ length: 60 }, (_, number) => host(number, number % 2 === 0 ? 0.3 : 0.44))
  const untold = [...unevenHosts(), host(60, undefined)]
  t.deepEqual(idsFor(alike, 'a'), alike.map(({ hostId }) => hostId))
  t.deepEqual(idsFor(untold, 'a'), untold.map(({ hostId }) => hostId))
})

test('should draw at random from alike hosts where there are more than callers read', t => {
  const alike = Array.from({ length: 100 }, (_, number) => host(number, 0.3))
  const drawn = idsFor(alike, 'a', { seed: 1 })
  t.is(drawn.length, MAX_ADDRESSES_COUNT)
  t.notDeepEqual(idsFor(alike, 'a', { seed: 2 }), drawn)
})

test('should name all hosts where there are no more than a caller needs', t => {
  const few = [host(1, 0.1), ...Array.from({ length: MIN_LISTED_COUNT - 1 }, (_, number) => host(number + 2, 1))]
  t.is(idsFor(few, 'a').length, MIN_LISTED_COUNT)
})

test('should name enough hosts where one is far larger than all others', t => {
  const hosts = [host(0, 10), ...Array.from({ length: 40 }, (_, number) => host(number + 1, 0.1))]
  for (let caller = 0; caller < 100; caller++) t.true(idsFor(hosts, `caller-${caller}`).length >= MIN_LISTED_COUNT)
})

for (const seed of STABILITY_SEEDS) {
  test(`should keep a caller's list nearly as it is over renewals, seed ${seed}`, t => {
    const world = new CallerSpreadWorld({ capacities: UNEVEN_CAPACITIES, callersPerDataCentre: CALLERS, fleetUse: PRESSED_USE, seed })
    world.run(SETTLE_S)
    const { droppedConnectionsCount, renewalsCount } = world
    world.run(MEASURED_S)
    const dropped = (world.droppedConnectionsCount - droppedConnectionsCount) / (world.renewalsCount - renewalsCount)
    t.log(`${dropped.toFixed(4)} connections dropped per renewal`)
    t.true(dropped < 0.05, `${dropped}`)
  })
}

test('should move only one host of the lists when one host\'s weight changes', t => {
  const before = unevenHosts()
  const after = before.map(known => (known.hostId === 'h30' ? { ...known, load: { useSteps: 12, backOffSteps: 6 } } : known))
  for (let caller = 0; caller < 200; caller++) {
    const identity = `caller-${caller}`
    const newIds = new Set(idsFor(after, identity))
    const moved = idsFor(before, identity).filter(hostId => !newIds.has(hostId))
    t.true(moved.every(hostId => hostId === 'h30'))
  }
})

test('should prefer hosts in the caller\'s data centre only while they have room', t => {
  const place = (load: HostLoad | undefined): FleetHost[] => UNEVEN_CAPACITIES.map((capacity, number) => host(number, capacity, load, number % 3 === 0 ? 'north' : 'south'))
  const nearShare = (load: HostLoad | undefined): number => {
    const lists = Array.from({ length: 300 }, (_, caller) => idsFor(place(load), `caller-${caller}`, { dataCentre: 'north' }))
    const near = lists.flat().filter(hostId => Number(hostId.slice(1)) % 3 === 0)
    return near.length / lists.flat().length
  }
  const idleShare = nearShare(undefined)
  const busyShare = nearShare({ useSteps: 8, backOffSteps: 0 })
  t.true(idleShare > 1.3 * busyShare, `${idleShare} against ${busyShare}`)
  t.true(Math.abs(busyShare - 1 / 3) < 0.05, `${busyShare}`)
})

test('should leave overloaded hosts out, unless too little capacity would be left', t => {
  const overloaded = { useSteps: 16, backOffSteps: 0, isOverloaded: true }
  const few = unevenHosts().map((known, number) => (number === 0 || number === 40 ? { ...known, load: overloaded } : known))
  const all = unevenHosts().map(known => ({ ...known, load: overloaded }))
  for (let caller = 0; caller < 50; caller++) {
    const ids = idsFor(few, `caller-${caller}`)
    t.false(ids.includes('h0') || ids.includes('h40'))
    t.true(idsFor(all, `caller-${caller}`).includes('h0'))
  }
})
