import test from 'ava'
import type { ControlNode } from '../../src/control/controlNode.js'
import { EndpointDirectory } from '../../src/control/fleet/endpointDirectory.js'
import { EndpointUpdateKind } from '../../src/control/fleet/endpointUpdateKind.js'
import { QuarantineState } from '../../src/control/routing/quarantineState.js'
import { RecordedLeaves } from '../../src/control/routing/recordedLeaves.js'
import { FollowerSessions } from '../../src/control/fleet/followerSessions.js'
import { FleetFollower, type ServiceFiguresExchange } from '../../src/fleet/fleetFollower.js'
import { FleetView } from '../../src/fleet/fleetView.js'
import { EndpointLifecycle, HostRole, type FleetHost, type FollowRequest, type HostLoad } from '../../src/protocol/fleet.js'
import type { ServiceTotals } from '../../src/protocol/serviceFigures.js'
import { followMethod } from '../../src/transport/fleetMethods.js'
import { MemoryNetwork } from '../../src/transport/memoryTransport.js'
import { RpcHandlers, RpcPeer } from '../../src/transport/rpcPeer.js'
import { silentLogger } from '../../src/utils/logger.js'
import { sleepUntil } from '../../src/utils/clock.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { Signal } from '../../src/utils/signal.js'
import { Supervisor } from '../../src/utils/supervisor.js'
import { engine, incarnation, routing } from '../fixtures/fleet/fleetFixtures.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const CONTROL = '10.0.1.1:1'
/** A member that does not answer. */
const OTHER_CONTROL = '10.0.1.2:1'
const HEARTBEAT_MS = 1_200
const SETTLE_MS = 3_000
const LINK_DELAY_MS = 1
/** Longer than the 600 ms that a follower waits for a reply. */
const LATE_REPLY_MS = 700
/** Control hosts that are no longer listed are not followed any more after this time. */
const FORGOTTEN_AFTER_MS = 40_000

/** One control host and any number of followers, over an in-memory network that counts messages. */
class World {
  readonly clock = new VirtualClock()
  readonly leaves = new RecordedLeaves()
  readonly ends = new QuarantineState()
  readonly directory = new EndpointDirectory(this.clock, HEARTBEAT_MS, this.leaves)
  readonly network = new MemoryNetwork(this.clock, () => this._count())
  readonly scope = new Scope('world')
  readonly views = new Map<string, FleetView>()
  readonly followers: FleetFollower[] = []
  readonly supervisors = new Map<string, Supervisor>()
  messagesCount = 0
  /** Bytes of the calls of followers, as JSON. */
  callBytes = 0
  /** Delays of the next confirmations in order; later ones have none. */
  readonly confirmDelaysMs: number[] = []
  readonly sessions: FollowerSessions
  private _namedVersion = 1

  constructor () {
    const state = {
      routing: {
        routing: routing(3),
        version: 3,
        storeGroup: undefined,
        namedWeights: () => [{ model: 'm', version: this._namedVersion }],
        retirements: () => [],
        leaves: this.leaves,
        ends: this.ends
      }
    }
    const replica = { applied: new Signal(), core: { members: [{ peerAddress: CONTROL }, { peerAddress: OTHER_CONTROL }] } }
    this.sessions = new FollowerSessions({
      node: { state, replica } as unknown as ControlNode,
      directory: this.directory,
      clock: this.clock,
      logger: silentLogger,
      confirm: async () => {
        await sleepUntil(this.clock, this.scope, this.clock.nowMs() + (this.confirmDelaysMs.shift() ?? 0))
        return true
      }
    })
  }

  async start (): Promise<void> {
    await this.network.host('10.0.1.1').listen(CONTROL, this.scope, connection => {
      const handlers = new RpcHandlers()
      const peer = new RpcPeer(connection, handlers, error => { throw error })
      handlers.on(followMethod, async (request, remainingMs) => {
        this._countCall(request)
        return await this.sessions.follow(peer, request, new Progress(this.clock, this.scope, this.clock.nowMs() + remainingMs))
      })
      this.sessions.watch(peer)
    })
    const supervisor = new Supervisor(this.scope, (_task, error) => { throw error })
    supervisor.spawn('review', scope => this.sessions.review(scope))
  }

  follow (number: number, role: HostRole, changes: Partial<FleetHost> = {}, describeLoad?: () => HostLoad | undefined, services?: ServiceFiguresExchange): FleetView {
    const hostId = `10.0.0.${number}`
    const view = new FleetView(silentLogger)
    const supervisor = new Supervisor(this.scope.child(hostId), (_task, error) => { throw error })
    const store = role === HostRole.Store ? { replicaId: hostId, peerAddress: `${hostId}:2`, clusterId: 'c', term: 1, isLeader: false, memberIds: [] } : undefined
    const follower = new FleetFollower({
      clock: this.clock,
      transport: this.network.host(hostId),
      logger: silentLogger,
      supervisor,
      view,
      seedAddresses: [CONTROL],
      describe: () => ({ hostId, hostName: hostId, dataCentre: 'north', role, isServing: true, store, ...changes }),
      ...(describeLoad ? { describeLoad } : {}),
      services,
      onFatal: error => { throw error }
    })
    follower.start()
    this.followers.push(follower)
    this.views.set(hostId, view)
    this.supervisors.set(hostId, supervisor)
    return view
  }

  /** Times of day differ from call to call, also in length. */
  private _countCall (request: FollowRequest): void {
    this.callBytes += JSON.stringify({ ...request, wallMs: 0 }).length
  }

  private _count (): number {
    this.messagesCount++
    return LINK_DELAY_MS
  }

  name (version: number): void {
    this._namedVersion = version
  }
}

function hostsKnown (view: FleetView): number {
  return view.hosts(HostRole.Entry).length + view.hosts(HostRole.Store).length
}

test('should let all hosts discover each other after a simultaneous start, with few messages for each', async t => {
  const world = new World()
  await world.start()
  const hostsCount = 60
  for (let number = 1; number <= hostsCount; number++) world.follow(number, HostRole.Entry)
  await world.clock.advance(SETTLE_MS)
  for (const view of world.views.values()) t.is(hostsKnown(view), hostsCount)
  // Two calls a second and their replies, the complete list once, and pushes that combine many changes.
  t.true(world.messagesCount < hostsCount * 25, `${world.messagesCount} messages`)
})

test('should let a store host know of store hosts only', async t => {
  const world = new World()
  await world.start()
  const store = world.follow(1, HostRole.Store)
  const entry = world.follow(2, HostRole.Entry)
  await world.clock.advance(SETTLE_MS)
  t.is(hostsKnown(store), 1)
  t.is(hostsKnown(entry), 2)
})

test('should report a host that disconnects, and one that comes back', async t => {
  const world = new World()
  await world.start()
  const view = world.follow(1, HostRole.Entry)
  world.follow(2, HostRole.Entry)
  await world.clock.advance(SETTLE_MS)
  world.network.cut('10.0.0.2', '10.0.1.1')
  await world.clock.advance(SETTLE_MS)
  t.is(hostsKnown(view), 1)
  world.network.heal()
  await world.clock.advance(SETTLE_MS)
  t.is(hostsKnown(view), 2)
  t.is(hostsKnown(world.views.get('10.0.0.2')!), 2)
})

test('should push nothing while nothing changes, and a change once to each', async t => {
  const world = new World()
  await world.start()
  for (let number = 1; number <= 10; number++) world.follow(number, HostRole.Entry)
  await world.clock.advance(SETTLE_MS)
  const idleFrom = world.messagesCount
  await world.clock.advance(SETTLE_MS)
  const idleCount = world.messagesCount - idleFrom
  t.true(idleCount <= 10 * 2 * 7, `${idleCount} messages: calls and replies alone`)
  world.name(2)
  await world.clock.advance(SETTLE_MS)
  t.true(world.messagesCount - idleFrom - 2 * idleCount <= 10 + 4, 'one push each')
  for (const view of world.views.values()) t.is(view.namedVersion('m'), 2)
})

test('should send the content of a reply again that arrived too late', async t => {
  const world = new World()
  await world.start()
  world.name(5)
  world.directory.heartbeat(engine('e1', 4))
  world.confirmDelaysMs.push(LATE_REPLY_MS)
  const view = world.follow(1, HostRole.Entry)
  await world.clock.advance(SETTLE_MS)
  t.is(view.namedVersion('m'), 5)
  t.is(view.ready().length, 1)
  const follower = world.followers[0]
  await world.clock.advance(FORGOTTEN_AFTER_MS)
  t.deepEqual(follower?.addresses, [CONTROL, OTHER_CONTROL], 'both control hosts that the reply listed')
})

test('should announce new weights of an engine only to store hosts', async t => {
  const world = new World()
  await world.start()
  const store = world.follow(1, HostRole.Store)
  const entry = world.follow(2, HostRole.Entry)
  await world.clock.advance(SETTLE_MS)
  world.sessions.announce(engine('e1', 4), EndpointUpdateKind.Endpoint)
  world.sessions.announce(engine('e1', 5, { sequence: 2 }), EndpointUpdateKind.Weights)
  await world.clock.advance(10)
  t.is(store.endpoint('e1')?.weights[0]?.version, 5)
  t.is(entry.endpoint('e1')?.weights[0]?.version, 4)
})

test('should not bring an earlier incarnation of an endpoint back on any host when its last heartbeat is late', async t => {
  const world = new World()
  await world.start()
  const view = world.follow(1, HostRole.Entry)
  await world.clock.advance(SETTLE_MS)
  const announce = (endpoint: ReturnType<typeof incarnation>): void => {
    const outcome = world.directory.heartbeat(endpoint)
    if (outcome.kind !== 'changed') return
    if (outcome.replaced) world.sessions.announce(outcome.replaced, EndpointUpdateKind.Endpoint)
    world.sessions.announce(outcome.endpoint, outcome.news)
  }
  announce(incarnation('e1', 1_000, { sequence: 20 }))
  announce(incarnation('e1', 2_000, { sequence: 1 }))
  announce(incarnation('e1', 1_000, { sequence: 21, lifecycle: EndpointLifecycle.Leaving }))
  await world.clock.advance(10)
  t.deepEqual(view.ready().map(({ endpointId }) => endpointId), ['e1@2000'])
})

const LOST_WITHIN_MS = 3_000

test('should tell entry hosts of a changed load, and hosts that connect later, but no store host', async t => {
  const world = new World()
  await world.start()
  const reported: { load?: HostLoad } = {}
  world.follow(1, HostRole.Entry, { capacity: 0.3 }, () => reported.load)
  const entry = world.follow(2, HostRole.Entry)
  const store = world.follow(3, HostRole.Store)
  await world.clock.advance(SETTLE_MS)
  const loadIn = (view: FleetView): HostLoad | undefined => view.hosts(HostRole.Entry).find(({ hostId }) => hostId === '10.0.0.1')?.load
  t.is(loadIn(entry), undefined)
  reported.load = { useSteps: 12, backOffSteps: 3 }
  await world.clock.advance(SETTLE_MS)
  t.deepEqual(loadIn(entry), reported.load)
  t.deepEqual(loadIn(world.follow(4, HostRole.Entry)), undefined)
  await world.clock.advance(SETTLE_MS)
  t.deepEqual(loadIn(world.views.get('10.0.0.4')!), reported.load)
  t.deepEqual(store.hosts(HostRole.Entry), [])
})

test('should not send the whole state again because a load changes', async t => {
  const world = new World()
  await world.start()
  let load: HostLoad = { useSteps: 4, backOffSteps: 0 }
  const view = world.follow(1, HostRole.Entry, {}, () => load)
  await world.clock.advance(SETTLE_MS)
  let endpointsSentCount = 0
  const merge = view.merge.bind(view)
  view.merge = (address, update) => {
    if (update.endpoints || update.routing || update.hosts) endpointsSentCount++
    merge(address, update)
  }
  load = { useSteps: 9, backOffSteps: 1 }
  await world.clock.advance(SETTLE_MS)
  t.is(endpointsSentCount, 0)
  t.is(view.hosts(HostRole.Entry)[0]?.load?.useSteps, 9)
})

test('should cost an idle host with known limits not a byte more than one without, after its first call', async t => {
  const bytesOf = async (changes: Partial<FleetHost>, describeLoad?: () => HostLoad | undefined): Promise<{ callBytes: number, messagesCount: number }> => {
    const world = new World()
    await world.start()
    for (let number = 1; number <= 10; number++) world.follow(number, HostRole.Entry, changes, describeLoad)
    await world.clock.advance(SETTLE_MS)
    Object.assign(world, { callBytes: 0, messagesCount: 0 })
    await world.clock.advance(10 * SETTLE_MS)
    return { callBytes: world.callBytes, messagesCount: world.messagesCount }
  }
  const before = await bytesOf({})
  t.true(before.callBytes > 0)
  t.deepEqual(await bytesOf({ capacity: 0.3 }, () => undefined), before)
})

for (const kind of ['frozen', 'cut off'] as const) {
  test(`should forget an entry host that is ${kind} within three seconds`, async t => {
    const world = new World()
    await world.start()
    const view = world.follow(1, HostRole.Entry)
    world.follow(2, HostRole.Entry)
    await world.clock.advance(SETTLE_MS)
    t.is(hostsKnown(view), 2)
    if (kind === 'frozen') world.network.cutOneWay('10.0.0.2', '10.0.1.1')
    else world.network.cut('10.0.0.2', '10.0.1.1')
    await world.clock.advance(LOST_WITHIN_MS)
    t.deepEqual(view.hosts(HostRole.Entry).map(({ hostId }) => hostId), ['10.0.0.1'])
  })
}

test('should send the figures of a full service to one control host, and their sum to entry hosts only while there are figures', async t => {
  const world = new World()
  await world.start()
  const received: ServiceTotals[] = []
  const sentTo: string[] = []
  let isUnderPressure = false
  const services = (hostNumber: number): ServiceFiguresExchange => ({
    takeDue: (address, holderOf) => {
      if (!isUnderPressure || holderOf('decks') !== address) return []
      sentTo.push(address)
      return [{ service: 'decks', countedAtWallMs: world.clock.nowMs(), classes: [{ priority: 0, firstTriesPerS: 10 * hostNumber, returnsPerS: 0, refusedPerS: 0 }], dataCentres: [] }]
    },
    receive: totals => { received.push(...totals) }
  })
  for (const number of [1, 2]) world.follow(number, HostRole.Entry, {}, undefined, services(number))
  await world.clock.advance(SETTLE_MS)
  t.is(received.length, 0)
  isUnderPressure = true
  await world.clock.advance(SETTLE_MS)
  t.true(received.some(({ hostsCount, classes }) => hostsCount === 2 && classes[0]?.firstTriesPerS === 30))
  t.deepEqual([...new Set(sentTo)], [CONTROL])
  isUnderPressure = false
  await world.clock.advance(SETTLE_MS)
  const receivedCount = received.length
  await world.clock.advance(SETTLE_MS)
  t.is(received.length, receivedCount)
})
