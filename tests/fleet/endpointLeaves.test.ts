import test from 'ava'
import { RecordedLeaves } from '../../src/control/routing/recordedLeaves.js'
import { RoutingState } from '../../src/control/routing/routingState.js'
import { EndpointLifecycle, KnownLeaves } from '../../src/protocol/endpointLeaves.js'
import { RoutingCommandKind } from '../../src/protocol/routingCommands.js'

const NOW = { atMs: 0 }

const { Ready, Leaving, Gone: Removed } = EndpointLifecycle

test('should record a leave once, however often and wherever it is repeated', t => {
  const leaves = new RecordedLeaves()
  const first = leaves.record({ name: 'e1', bornAtMs: 0, lifecycle: Leaving })
  t.deepEqual(leaves.record({ name: 'e1', bornAtMs: 0, lifecycle: Leaving }), first)
  t.is(leaves.record({ name: 'e1', bornAtMs: 0, lifecycle: Removed }).number, 2)
  t.is(leaves.record({ name: 'e1', bornAtMs: 0, lifecycle: Leaving }).number, 2)
  t.is(leaves.record({ name: 'e2', bornAtMs: 0, lifecycle: Leaving }).number, 3)
})

test('should record every leave without an incarnation, as it may belong to a later one', t => {
  const leaves = new RecordedLeaves()
  leaves.record({ name: 'e1', lifecycle: Removed })
  t.is(leaves.record({ name: 'e1', lifecycle: Removed }).number, 2)
})

test('should return the leaves recorded since a number, in order, and keep the latest', t => {
  const leaves = new RecordedLeaves()
  for (let number = 1; number <= 1_100; number++) leaves.record({ name: `e${number}`, bornAtMs: 0, lifecycle: Removed })
  t.deepEqual(leaves.since(1_098).map(({ number }) => number), [1_099, 1_100])
  t.deepEqual(leaves.since(1_100), [])
  t.is(leaves.since(0).length, 1_024)
  t.is(leaves.since(0)[0]?.number, 77)
})

test('should store leaves in snapshots, and read snapshots without any', t => {
  const state = new RoutingState()
  state.apply({ kind: RoutingCommandKind.RecordLeave, leave: { name: 'e1', bornAtMs: 5, lifecycle: Removed } }, NOW)
  const other = new RoutingState()
  other.restore(state.snapshot())
  t.deepEqual(other.leaves.all(), [{ name: 'e1', bornAtMs: 5, lifecycle: Removed, number: 1 }])
  other.restore({ ...state.snapshot(), leaves: undefined })
  t.deepEqual(other.leaves.all(), [])
})

test('should end the incarnation that left and those before it, but none that came after', t => {
  const known = new KnownLeaves()
  known.record({ number: 4, name: 'e1', bornAtMs: 2_000, lifecycle: Leaving }, undefined)
  t.is(known.lifecycleOf({ name: 'e1', bornAtMs: 1_000 }), Removed)
  t.is(known.lifecycleOf({ name: 'e1', bornAtMs: 2_000 }), Leaving)
  t.is(known.lifecycleOf({ name: 'e1', bornAtMs: 3_000 }), Ready)
  known.record({ number: 5, name: 'e1', bornAtMs: 1_000, lifecycle: Removed }, undefined)
  t.is(known.lifecycleOf({ name: 'e1', bornAtMs: 2_000 }), Leaving, 'the leave of an earlier incarnation arrives late')
})

test('should end the known incarnation by a leave without an incarnation, once', t => {
  const known = new KnownLeaves()
  known.record({ number: 4, name: 'e1', lifecycle: Removed }, 1_000)
  known.record({ number: 4, name: 'e1', lifecycle: Removed }, 2_000)
  t.is(known.lifecycleOf({ name: 'e1', bornAtMs: 1_000 }), Removed)
  t.is(known.lifecycleOf({ name: 'e1', bornAtMs: 2_000 }), Ready, 'sent again by another control host after the endpoint came back')
})
