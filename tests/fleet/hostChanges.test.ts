import test from 'ava'
import { HostChanges } from '../../src/control/fleet/hostChanges.js'
import { FleetView } from '../../src/fleet/fleetView.js'
import { HostRole, type FleetHost, type FleetUpdate } from '../../src/protocol/fleet.js'
import { silentLogger } from '../../src/utils/logger.js'
import { seededRandom } from '../../src/utils/randomSource.js'

const CONTROL = 'control-1'
const FLEET_SIZE = 300

function host (number: number, role = HostRole.Entry, isServing = true): FleetHost {
  return { hostId: `h${number}`, hostName: `host-${number}`, dataCentre: 'north', role, isServing, callerAddress: `10.0.0.${number}:80` }
}

function updateFor (changes: HostChanges, follower: HostRole): FleetUpdate {
  return changes.takePending().find(sent => sent.follower === follower)?.update ?? {}
}

test('should send each host once when a whole fleet starts at the same time', t => {
  const changes = new HostChanges()
  let sentCount = 0
  for (let number = 0; number < FLEET_SIZE; number++) {
    changes.set(host(number))
    if (number % 10 === 9) sentCount += updateFor(changes, HostRole.Entry).changedHosts?.length ?? 0
  }
  t.is(sentCount, FLEET_SIZE)
  t.deepEqual(changes.takePending(), [])
})

test('should send only store hosts to store hosts, and all hosts to entry hosts', t => {
  const changes = new HostChanges()
  changes.set(host(1))
  changes.set(host(2, HostRole.Store))
  t.deepEqual(changes.fullListFor(HostRole.Store).hosts?.map(({ hostId }) => hostId), ['h2'])
  const sentIds = new Map(changes.takePending().map(({ follower, update }) => [follower, update.changedHosts?.map(({ hostId }) => hostId)]))
  t.deepEqual(sentIds.get(HostRole.Entry), ['h1', 'h2'])
  t.deepEqual(sentIds.get(HostRole.Store), ['h2'])
})

test('should send only the last of several changes of a host', t => {
  const changes = new HostChanges()
  changes.set(host(1))
  changes.set(host(1, HostRole.Entry, false))
  t.deepEqual(updateFor(changes, HostRole.Entry), { changedHosts: [host(1, HostRole.Entry, false)], lostHostIds: [] })
  changes.set(host(1))
  changes.remove('h1')
  t.deepEqual(updateFor(changes, HostRole.Entry), { changedHosts: [], lostHostIds: ['h1'] })
})

for (const seed of [1, 2, 3, 4, 5]) {
  test(`should give every follower the same hosts, whenever it connected and whatever changed, seed ${seed}`, t => {
    const random = seededRandom(seed)
    const changes = new HostChanges()
    const views: FleetView[] = []
    for (let step = 0; step < 400; step++) {
      const number = random.int(0, 30)
      if (random.real() < 0.4) changes.remove(`h${number}`)
      else changes.set(host(number, HostRole.Entry, random.real() < 0.5))
      if (random.real() < 0.05) {
        const view = new FleetView(silentLogger)
        view.merge(CONTROL, changes.fullListFor(HostRole.Entry))
        views.push(view)
      }
      if (random.real() < 0.2) {
        const update = updateFor(changes, HostRole.Entry)
        for (const view of views) view.merge(CONTROL, update)
      }
    }
    const last = updateFor(changes, HostRole.Entry)
    for (const view of views) view.merge(CONTROL, last)
    const byId = (hosts: FleetHost[]): FleetHost[] => [...hosts].sort((left, right) => left.hostId < right.hostId ? -1 : 1)
    for (const view of views) t.deepEqual(byId(view.hosts(HostRole.Entry)), byId(changes.all()))
  })
}
