import test from 'ava'
import { RoutingState } from '../../src/control/routing/routingState.js'
import { RetirementState, RoutingCommandKind, type RoutingCommand } from '../../src/protocol/routingCommands.js'
import { routing } from '../fixtures/fleet/fleetFixtures.js'

const NOW = { atMs: 0 }

function replace (version: number, document: string): RoutingCommand {
  return { kind: RoutingCommandKind.Replace, routing: routing(version), document }
}

test('should hold the highest version, and the first document that came under it', t => {
  const state = new RoutingState()
  t.deepEqual(state.apply(replace(7, 'seven'), NOW), { kind: 'routingHeld', version: 7 })
  t.deepEqual(state.apply(replace(7, 'another seven'), NOW), { kind: 'routingHeld', version: 7 })
  t.deepEqual(state.apply(replace(5, 'five'), NOW), { kind: 'routingHeld', version: 7 })
  t.is(state.document, 'seven')
  state.apply(replace(12, 'twelve'), NOW)
  t.is(state.document, 'twelve')
})

test('should never go back behind a named version of weights', t => {
  const state = new RoutingState()
  const name = (version: number): RoutingCommand => ({ kind: RoutingCommandKind.NameWeights, model: 'm', version })
  state.apply(name(3), NOW)
  t.deepEqual(state.apply(name(2), NOW), { kind: 'weightsNamed', version: 3 })
  t.deepEqual(state.namedWeights(), [{ model: 'm', version: 3 }])
})

test('should choose the initial members of the store only once', t => {
  const state = new RoutingState()
  const form = (clusterId: string): RoutingCommand => (
    { kind: RoutingCommandKind.FormStore, group: { clusterId, initialReplicas: [{ replicaId: 'r', hostId: 'h', peerAddress: 'a' }] } }
  )
  state.apply(form('first'), NOW)
  state.apply(form('second'), NOW)
  t.is(state.storeGroup?.clusterId, 'first')
})

test('should not restart a completed retirement', t => {
  const state = new RoutingState()
  const begin: RoutingCommand = { kind: RoutingCommandKind.StartRetirement, hostName: 'store-1', hostId: 'h1' }
  state.apply(begin, NOW)
  t.is(state.retirementOf('store-1')?.state, RetirementState.Serving)
  state.apply({ kind: RoutingCommandKind.EndRetirement, hostName: 'store-1' }, NOW)
  state.apply(begin, NOW)
  t.is(state.retirementOf('store-1')?.state, RetirementState.Completed)
})

test('should be the same after a snapshot was restored', t => {
  const state = new RoutingState()
  state.apply(replace(7, 'seven'), NOW)
  state.apply({ kind: RoutingCommandKind.NameWeights, model: 'm', version: 3 }, NOW)
  state.apply({ kind: RoutingCommandKind.StartRetirement, hostName: 'store-1', hostId: 'h1' }, NOW)
  const copy = new RoutingState()
  copy.restore(state.snapshot())
  t.deepEqual(copy.snapshot(), state.snapshot())
})
