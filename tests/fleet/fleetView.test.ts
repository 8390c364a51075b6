import test from 'ava'
import { FleetView } from '../../src/fleet/fleetView.js'
import { EndpointLifecycle, HostRole, type FleetHost } from '../../src/protocol/fleet.js'
import { silentLogger } from '../../src/utils/logger.js'
import { endpoint, incarnation, routing } from '../fixtures/fleet/fleetFixtures.js'

function ids (view: FleetView): string[] {
  return view.ready().map(({ endpointId }) => endpointId)
}

function storeHost (hostId: string, term: number, isLeader: boolean): FleetHost {
  return {
    hostId,
    hostName: hostId,
    dataCentre: 'north',
    role: HostRole.Store,
    isServing: true,
    store: { replicaId: `replica of ${hostId}`, peerAddress: `${hostId}:1`, clusterId: 'c', term, isLeader, memberIds: [] }
  }
}

test('should never accept an older routing configuration, whoever sends it', t => {
  const view = new FleetView(silentLogger)
  view.merge('control-1', { routing: routing(7) })
  view.merge('control-2', { routing: routing(5) })
  t.is(view.routing?.version, 7)
})

test('should never use a leaving endpoint again, even if an outdated host reports it as ready', t => {
  const view = new FleetView(silentLogger)
  view.merge('control-1', { endpoints: [endpoint('e1', { sequence: 4, lifecycle: EndpointLifecycle.Leaving })] })
  view.merge('control-2', { endpoints: [endpoint('e1', { sequence: 9 })] })
  t.deepEqual(ids(view), [])
  view.merge('control-1', { endpoints: [endpoint('e1', { sequence: 10, lifecycle: EndpointLifecycle.Gone })] })
  view.merge('control-2', { endpoints: [endpoint('e1', { sequence: 11 })] })
  t.deepEqual(ids(view), [])
})

test('should keep an endpoint that one host reports as silent while another has received a newer heartbeat', t => {
  const view = new FleetView(silentLogger)
  view.merge('control-1', { endpoints: [endpoint('e1', { sequence: 3 })] })
  view.merge('control-2', { endpoints: [endpoint('e1', { sequence: 8 })] })
  view.merge('control-1', { silent: [{ endpointId: 'e1', sequence: 3 }] })
  t.deepEqual(ids(view), ['e1'])
  view.merge('control-2', { silent: [{ endpointId: 'e1', sequence: 8 }] })
  t.deepEqual(ids(view), [])
})

test('should return the store leader of the latest term, and none once no control host reports it', t => {
  const view = new FleetView(silentLogger)
  view.merge('control-1', { hosts: [storeHost('s1', 3, true)] })
  view.merge('control-2', { hosts: [storeHost('s2', 4, true)] })
  t.is(view.storeLeader()?.hostId, 's2')
  view.removeHostsOf('control-2')
  t.is(view.storeLeader()?.hostId, 's1')
})

test('should never go back to an older named version of weights', t => {
  const view = new FleetView(silentLogger)
  view.merge('control-1', { weights: [{ model: 'm', version: 6 }] })
  view.merge('control-2', { weights: [{ model: 'm', version: 5 }] })
  t.is(view.namedVersion('m'), 6)
  t.is(view.namedVersion('other'), 1)
})

test('should replace an endpoint by its newer incarnation, and never go back to the earlier one', t => {
  const view = new FleetView(silentLogger)
  view.merge('control-1', { endpoints: [incarnation('e1', 1_000, { sequence: 50 })] })
  view.merge('control-2', { endpoints: [incarnation('e1', 2_000, { sequence: 1 })] })
  t.deepEqual(ids(view), ['e1@2000'])
  view.merge('control-1', { endpoints: [incarnation('e1', 1_000, { sequence: 51 })] })
  t.deepEqual(ids(view), ['e1@2000'])
  t.is(view.endpoint('e1@1000'), undefined)
})

test('should accept an endpoint that restarted after it was reported to have left', t => {
  const view = new FleetView(silentLogger)
  view.merge('control-1', { endpoints: [incarnation('e1', 1_000, { lifecycle: EndpointLifecycle.Gone })] })
  view.merge('control-1', { endpoints: [incarnation('e1', 2_000)] })
  t.deepEqual(ids(view), ['e1@2000'])
})
