/**
 * The directory shared by entry hosts: propagation of records and its delay,
 * and recovery after lost messages, partitions and restarts.
 */
import test from 'ava'
import { defaultLimits } from '../../src/entry/entrySettings.js'
import { BUCKETS_COUNT } from '../../src/entry/directory/recordStore.js'
import { rankByRendezvous } from '../../src/entry/directory/rendezvous.js'
import { MemoryFleet, type FleetHost } from '../fixtures/memoryFleet.js'

const CONNECT_MS = 3_000
/** Time within which every host must know that an endpoint leaves. */
const LEAVING_BOUND_MS = 3_000

async function sixHosts (): Promise<{ net: MemoryFleet, hosts: [FleetHost, FleetHost, FleetHost, FleetHost, FleetHost, FleetHost] }> {
  const net = new MemoryFleet()
  const start = (index: number): Promise<FleetHost> => net.start(`host${index}`, index <= 3 ? 'a' : 'b')
  const hosts = [await start(1), await start(2), await start(3), await start(4), await start(5), await start(6)] as Awaited<ReturnType<typeof sixHosts>>['hosts']
  await net.clock.advance(CONNECT_MS)
  return { net, hosts }
}

function available (hosts: FleetHost[]): number[] {
  return hosts.map(({ fleet }) => fleet.directory.available('lm').length)
}

test('should propagate an endpoint, its load and its departure to every host', async t => {
  const { net, hosts } = await sixHosts()
  hosts[0].announcements.announce(net.announcement('engine'))
  await net.clock.advance(10)
  t.deepEqual(available(hosts), [1, 1, 1, 1, 1, 1])
  hosts[0].announcements.announce(net.announcement('engine', { load: { runningCount: 9, waitingCount: 2, kvUsedPercent: 50, tokensPerSecond: 7, ageMs: 20 } }))
  await net.clock.advance(1_500)
  t.deepEqual(hosts.map(({ fleet }) => fleet.directory.get('engine')?.announcement.load.runningCount), Array(6).fill(9))
  hosts[1].announcements.announce(net.announcement('engine', { leaving: true }))
  await net.clock.advance(10)
  t.deepEqual(available(hosts), [0, 0, 0, 0, 0, 0])
})

test('should send each change to another data centre only once', async t => {
  const { net, hosts } = await sixHosts()
  // At this time no host renews its own record, which would add messages.
  await net.clock.advance(100)
  const before = { ...net.messages }
  hosts[0].announcements.announce(net.announcement('engine'))
  await net.clock.advance(5)
  t.is(net.messages.far - before.far, 1)
  t.is(net.messages.near - before.near, 4)
  t.deepEqual(available(hosts), [1, 1, 1, 1, 1, 1])
})

test('should remove a silent endpoint and not restore it from a delayed copy', async t => {
  const { net, hosts } = await sixHosts()
  hosts[0].announcements.announce(net.announcement('engine'))
  await net.clock.advance(10)
  const late = hosts[5].fleet.store.all().find(({ record }) => record.id === 'engine')
  await net.clock.advance(defaultLimits.endpointLeaseMs + 1_000)
  t.deepEqual(available(hosts), [0, 0, 0, 0, 0, 0])
  if (late) t.is(hosts[3].fleet.store.put(late.record), 'stale')
  await net.clock.advance(10_000)
  t.deepEqual(available(hosts), [0, 0, 0, 0, 0, 0])
})

test('should repair records that were lost in a partition between data centres', async t => {
  const { net, hosts } = await sixHosts()
  hosts[0].announcements.announce(net.announcement('engine-1'))
  await net.clock.advance(10)
  for (const near of hosts.slice(0, 3)) for (const far of hosts.slice(3)) net.network.cut(near.ip, far.ip)
  const keepAlive = async (forMs: number, fields = {}): Promise<void> => {
    for (let passedMs = 0; passedMs < forMs; passedMs += 1_000) {
      hosts[0].announcements.announce(net.announcement('engine-1', fields))
      hosts[4].announcements.announce(net.announcement('engine-2'))
      await net.clock.advance(1_000)
    }
  }
  await keepAlive(15_000, { leaving: true })
  t.deepEqual(available(hosts), [0, 0, 0, 1, 1, 1])
  net.network.heal()
  await keepAlive(15_000, { leaving: true })
  t.deepEqual(available(hosts), [1, 1, 1, 1, 1, 1])
  t.deepEqual(hosts.map(({ fleet }) => fleet.directory.all().length), Array(6).fill(2))
})

test('should find lost records by digest, though nothing is announced again', async t => {
  const { net, hosts } = await sixHosts()
  for (const other of hosts.slice(2)) net.network.cut(hosts[1].ip, other.ip)
  net.network.cut(hosts[0].ip, hosts[1].ip)
  hosts[0].announcements.announce(net.announcement('engine'))
  await net.clock.advance(500)
  t.deepEqual(available(hosts), [1, 0, 1, 1, 1, 1])
  net.network.heal()
  await net.clock.advance(defaultLimits.endpointLeaseMs - 1_000)
  t.deepEqual(available(hosts), [1, 1, 1, 1, 1, 1])
})

test('should know the endpoints before it serves after a restart', async t => {
  const { net, hosts } = await sixHosts()
  for (const host of hosts) host.fleet.syncFromPeers(host.supervisor.scope).catch(() => {})
  await net.clock.advance(5_000)
  hosts[0].announcements.announce(net.announcement('engine-1'))
  hosts[3].announcements.announce(net.announcement('engine-2', { leaving: true }))
  await net.clock.advance(10)
  await net.kill(hosts[2])
  await net.clock.advance(100)
  const restarted = await net.start('host3', 'a')
  const learnt = restarted.fleet.syncFromPeers(restarted.supervisor.scope)
  await net.clock.advanceUntil(learnt)
  t.deepEqual(restarted.fleet.directory.all().map(({ announcement }) => announcement.endpointId).sort(), ['engine-1', 'engine-2'])
  t.is(restarted.fleet.directory.available('lm').length, 1)
})

test('should reach the other data centre through another relay when one crashes', async t => {
  const { net, hosts } = await sixHosts()
  const relay = hosts[0].fleet.topology.relays()[0]
  const crashed = hosts.find(({ host }) => host.hostId === relay)
  if (!crashed) return t.fail('no relay')
  await net.kill(crashed)
  hosts[0].announcements.announce(net.announcement('engine'))
  await net.clock.advance(LEAVING_BOUND_MS)
  for (const host of hosts) {
    if (host !== crashed) t.is(host.fleet.directory.available('lm').length, 1, host.host.hostId)
  }
})

test('should keep an endpoint drained for its incarnation, whatever is announced at whichever host', async t => {
  const { net, hosts } = await sixHosts()
  hosts[0].announcements.announce(net.announcement('engine'))
  await net.clock.advance(10)
  const raced = net.announcement('engine', { adapters: ['hints'] })
  t.true(hosts[4].announcements.drain('engine'))
  hosts[0].announcements.announce(raced)
  await net.clock.advance(20)
  t.deepEqual(available(hosts), [0, 0, 0, 0, 0, 0])
  hosts[1].announcements.announce(net.announcement('engine'))
  await net.clock.advance(LEAVING_BOUND_MS)
  t.deepEqual(available(hosts), [0, 0, 0, 0, 0, 0])
  hosts[2].announcements.announce(net.announcement('engine', { incarnation: 2 }))
  await net.clock.advance(10)
  t.deepEqual(available(hosts), [1, 1, 1, 1, 1, 1])
})

test('should prefer the newer incarnation and sequence in whatever order they come', async t => {
  const { net, hosts } = await sixHosts()
  const [first, second] = [net.announcement('engine', { url: 'http://10.1.0.1:1' }), net.announcement('engine', { url: 'http://10.1.0.1:2' })]
  hosts[0].announcements.announce(second)
  hosts[1].announcements.announce(first)
  hosts[3].announcements.announce({ ...first, incarnation: 0, url: 'http://10.1.0.1:0' })
  await net.clock.advance(LEAVING_BOUND_MS)
  t.deepEqual(hosts.map(({ fleet }) => fleet.directory.get('engine')?.announcement.url), Array(6).fill('http://10.1.0.1:2'))
})

test('should agree on the digests once everything has arrived', async t => {
  const { net, hosts } = await sixHosts()
  for (let index = 0; index < 40; index++) hosts[index % 6]?.announcements.announce(net.announcement(`engine-${index}`))
  await net.clock.advance(10)
  const digests = hosts.map(({ fleet }) => fleet.store.bucketHashes())
  t.is(digests[0]?.length, BUCKETS_COUNT)
  for (const digest of digests) t.deepEqual(digest, digests[0])
})

test('should remove a stopping host from the advice of all others before it reports the withdrawal', async t => {
  const { net, hosts } = await sixHosts()
  await net.clock.advance(5_000)
  const others = hosts.slice(1)
  const leaving = hosts[0].fleet.hosts.withdrawFromAdvice(hosts[0].fleet.topology.peersNearestFirst(), hosts[0].supervisor.scope)
  await net.clock.advanceUntil(leaving)
  for (const { fleet } of others) t.false(fleet.hosts.serving().some(({ hostId }) => hostId === 'host1'))
})

test('should assume that a host that does not confirm a stop advises the stopping host until its lease ends', async t => {
  const { net, hosts } = await sixHosts()
  await net.clock.advance(5_000)
  net.network.cut(hosts[0].ip, hosts[5].ip)
  const startedAtMs = net.clock.nowMs()
  const leaving = hosts[0].fleet.hosts.withdrawFromAdvice(hosts[0].fleet.topology.peersNearestFirst(), hosts[0].supervisor.scope)
  t.is(await net.clock.advanceUntil(leaving), startedAtMs + defaultLimits.hostLeaseMs)
})

test('should reassign only the keys of a removed candidate', t => {
  const candidates = ['h1', 'h2', 'h3', 'h4']
  const keys = Array.from({ length: 200 }, (_, index) => `engine-${index}`)
  for (const key of keys) {
    const [first] = rankByRendezvous(key, candidates)
    const [after] = rankByRendezvous(key, candidates.filter(candidate => candidate !== 'h4'))
    if (first !== 'h4') t.is(after, first)
  }
})
