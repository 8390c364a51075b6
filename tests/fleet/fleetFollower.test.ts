import test from 'ava'
import { FleetEvent } from '../../src/fleet/fleetEvents.js'
import { FleetFollower } from '../../src/fleet/fleetFollower.js'
import { FleetView } from '../../src/fleet/fleetView.js'
import { HostRole, type FollowReply, type FollowRequest } from '../../src/protocol/fleet.js'
import { followMethod, fleetUpdateMethod } from '../../src/transport/fleetMethods.js'
import { packRouting } from '../../src/transport/packedRouting.js'
import { MemoryNetwork } from '../../src/transport/memoryTransport.js'
import { RpcHandlers, RpcPeer } from '../../src/transport/rpcPeer.js'
import { silentLogger } from '../../src/utils/logger.js'
import { Scope } from '../../src/utils/scope.js'
import { Supervisor } from '../../src/utils/supervisor.js'
import { endpoint, routing } from '../fixtures/fleet/fleetFixtures.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const FIRST_CALL_MS = 100
/** More than the interval of calls. */
const CALL_MS = 600
/** More than the time after which an unconfirmed configuration is accepted when no other may be known. */
const UNCONFIRMED_MS = 4_000
/** The same while a control host is connected that does not answer. */
const OUTDATED_MS = 8_500
/** Two calls without an answer, a pause and a call. */
const RECONNECT_MS = 1_500

interface ControlHost {
  address: string
  peers: RpcPeer[]
  requests: FollowRequest[]
  reply: FollowReply
  /** False while it accepts connections and calls but sends no replies. */
  answers: boolean
}

class World {
  readonly clock = new VirtualClock()
  readonly network = new MemoryNetwork(this.clock)
  readonly view = new FleetView(silentLogger)
  /** Numbers of the events that the follower has logged. */
  readonly events: number[] = []
  private readonly _scope = new Scope('world')

  async control (ip: string, reply: Partial<FollowReply>): Promise<ControlHost> {
    const address = `${ip}:1`
    const host: ControlHost = { address, peers: [], requests: [], reply: { controlAddresses: [address], isRoutingConfirmed: false, update: {}, ...reply }, answers: true }
    const handlers = new RpcHandlers()
    handlers.on(followMethod, request => {
      host.requests.push(request)
      return host.answers ? host.reply : new Promise<FollowReply>(() => {})
    })
    await this.network.host(ip).listen(address, this._scope, connection => { host.peers.push(new RpcPeer(connection, handlers, () => {})) })
    return host
  }

  follow (seedAddresses: string[]): FleetFollower {
    const supervisor = new Supervisor(this._scope, (_task, error) => { throw error })
    const follower = new FleetFollower({
      clock: this.clock,
      transport: this.network.host('10.0.0.9'),
      logger: { ...silentLogger, event: number => { this.events.push(number) } },
      supervisor,
      view: this.view,
      seedAddresses,
      describe: () => ({ hostId: '10.0.0.9', hostName: 'edge-9', dataCentre: 'north', role: HostRole.Entry, isServing: true }),
      onFatal: error => { throw error }
    })
    follower.start()
    return follower
  }
}

test('should apply a first routing configuration only when a quorum has confirmed it', async t => {
  const world = new World()
  const control = await world.control('10.0.0.1', { update: { routing: routing(3) } })
  world.follow([control.address])
  await world.clock.advance(1_500)
  t.is(world.view.routing, undefined)
  control.reply = { ...control.reply, isRoutingConfirmed: true }
  await world.clock.advance(600)
  t.is(world.view.routing?.version, 3)
})

test('should poll faster while no quorum has confirmed a configuration, and at the usual rate otherwise', async t => {
  const world = new World()
  const control = await world.control('10.0.0.1', { update: { routing: routing(3) } })
  world.follow([control.address])
  await world.clock.advance(300)
  control.reply = { ...control.reply, isRoutingConfirmed: true }
  await world.clock.advance(110)
  t.is(world.view.routing?.version, 3)
  const requestsCount = control.requests.length
  await world.clock.advance(1_000)
  t.true(control.requests.length <= requestsCount + 3)
})

test('should accept an unconfirmed configuration after a long wait for a quorum, and a newer one at once', async t => {
  const world = new World()
  const control = await world.control('10.0.0.1', { update: { routing: routing(3) } })
  world.follow([control.address])
  await world.clock.advance(4_000)
  t.is(world.view.routing?.version, 3)
  control.peers[0]?.notify(fleetUpdateMethod, { routing: routing(4) })
  await world.clock.advance(5)
  t.is(world.view.routing?.version, 4)
})

test('should follow control hosts that replies list, in addition to the seeds', async t => {
  const world = new World()
  const listed = await world.control('10.0.0.2', { update: { endpoints: [endpoint('e1')] } })
  const seed = await world.control('10.0.0.1', { controlAddresses: ['10.0.0.1:1', listed.address] })
  world.follow([seed.address])
  await world.clock.advance(1_500)
  t.true(listed.requests.length > 0)
  t.deepEqual(world.view.ready().map(({ endpointId }) => endpointId), ['e1'])
})

test('should replace an unresponsive connection and keep its state', async t => {
  const world = new World()
  const control = await world.control('10.0.0.1', { isRoutingConfirmed: true, update: { routing: routing(3), endpoints: [endpoint('e1')] } })
  world.follow([control.address])
  await world.clock.advance(1_000)
  world.network.cut('10.0.0.9', '10.0.0.1')
  await world.clock.advance(3_000)
  t.is(world.view.routing?.version, 3)
  t.is(world.view.ready().length, 1)
  const requestsCount = control.requests.length
  world.network.heal()
  await world.clock.advance(3_000)
  t.true(control.requests.length > requestsCount)
  t.true(control.peers.length > 1)
})

test('should put a pushed first configuration into force once a quorum has confirmed that version or an earlier one', async t => {
  const world = new World()
  const control = await world.control('10.0.0.1', {})
  world.follow(['10.0.0.1:1'])
  await world.clock.advance(FIRST_CALL_MS)
  const pushTo = (version: number): void => { control.peers[0]?.notify(fleetUpdateMethod, { packedRouting: packRouting(routing(version)) }) }
  pushTo(3)
  control.reply = { ...control.reply, isRoutingConfirmed: true, confirmedRoutingVersion: 4 }
  await world.clock.advance(CALL_MS)
  t.is(world.view.routing, undefined, 'a newer version is in force')
  pushTo(5)
  await world.clock.advance(CALL_MS)
  t.deepEqual(world.view.routing, routing(5))
  pushTo(4)
  pushTo(6)
  await world.clock.advance(CALL_MS)
  t.deepEqual(world.view.routing, routing(6))
})

test('should keep its configuration and say so when it cannot read a newer one', async t => {
  const world = new World()
  const control = await world.control('10.0.0.1', { isRoutingConfirmed: true, update: { routing: routing(3) } })
  world.follow(['10.0.0.1:1'])
  await world.clock.advance(FIRST_CALL_MS)
  control.peers[0]?.notify(fleetUpdateMethod, { packedRouting: { version: 4, deflated: Buffer.from('not deflated') } })
  await world.clock.advance(CALL_MS)
  t.is(world.view.routing?.version, 3)
  t.true(world.events.includes(FleetEvent.RoutingUnreadable))
})

// A host that started heard only the control host that had been cut off, as the replies of the others came too late: after 3 s it put a configuration of 14 s before into force.
test('should wait longer for a control host that accepts connections before it accepts an unconfirmed configuration', async t => {
  const world = new World()
  const outdated = await world.control('10.0.0.1', { update: { routing: routing(3) } })
  const slow = await world.control('10.0.0.2', { update: { routing: routing(5) } })
  slow.answers = false
  world.follow([outdated.address, slow.address])
  await world.clock.advance(UNCONFIRMED_MS)
  t.is(world.view.routing, undefined)
  slow.answers = true
  await world.clock.advance(RECONNECT_MS)
  t.is(world.view.routing?.version, 5)
})

test('should accept an unconfirmed configuration after a longer wait for a control host that never answers', async t => {
  const world = new World()
  const outdated = await world.control('10.0.0.1', { update: { routing: routing(3) } })
  const frozen = await world.control('10.0.0.2', {})
  frozen.answers = false
  world.follow([outdated.address, frozen.address])
  await world.clock.advance(OUTDATED_MS)
  t.is(world.view.routing?.version, 3)
})
