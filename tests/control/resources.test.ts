import test from 'ava'
import { systemClock } from '../../src/utils/clock.js'
import { HostCommandKind } from '../../src/protocol/hostCommands.js'
import { ResourceCommandKind, type ResourceCommand } from '../../src/protocol/resourceCommands.js'
import { ResourceKind } from '../../src/protocol/resources.js'
import { MAX_HISTORY_COUNT } from '../../src/control/resources/changeHistory.js'
import { checkCommand, ControlState } from '../../src/control/controlState.js'
import { emptyLedgers } from '../fixtures/emptyLedgers.js'
import { MemoryControl } from '../fixtures/memoryControl.js'

function apply (changeId: string, paidWeight: number, expectedRevision?: number): ResourceCommand {
  const target = { changeId, resourceKind: ResourceKind.PriorityClass, name: 'gold', expectedRevision }
  return { kind: ResourceCommandKind.Apply, ...target, spec: { paidWeight } }
}

test('should let one of two operators win who change the same revision', t => {
  const control = new MemoryControl({ clock: systemClock })
  t.like(control.apply(apply('first', 1, 0)), { kind: 'applied', revision: 1 })
  t.like(control.apply(apply('second', 2, 1)), { kind: 'applied', revision: 2 })
  t.deepEqual(control.apply(apply('third', 3, 1)), { kind: 'conflict', currentRevision: 2 })
})

test('should answer a resent change with its first outcome, conflicts included', t => {
  const control = new MemoryControl({ clock: systemClock })
  const first = control.apply(apply('first', 1, 0))
  const lost = control.apply(apply('lost', 9, 0))
  control.apply({ kind: ResourceCommandKind.Delete, changeId: 'gone', resourceKind: ResourceKind.PriorityClass, name: 'gold' })
  t.deepEqual(control.apply(apply('first', 1, 0)), first)
  t.deepEqual(control.apply(apply('lost', 9, 0)), lost)
  t.is(control.state.revision, 2)
  t.like(control.apply(apply('first', 2, 0)), { kind: 'invalid', field: 'changeId' })
})

test('should name the field of a spec that is malformed', t => {
  const control = new MemoryControl({ clock: systemClock })
  t.like(control.apply(apply('first', -1)), { kind: 'invalid', field: 'spec.paidWeight' })
})

test('should follow changes and hosts by one revision, and list again when the history is truncated', t => {
  const control = new MemoryControl({ clock: systemClock })
  const host = { hostId: 'a', dataCentre: 'd', callerAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:2', incarnation: 5 }
  const client = control.client(host)
  t.is(client.configuration.revision, 1)
  client.followsChanges = false
  for (let count = 0; count < MAX_HISTORY_COUNT * 2; count++) control.apply(apply(`change ${count}`, count + 1))
  t.is(control.state.history.since(1).kind, 'compacted')
  client.followsChanges = true
  client.catchUp()
  t.is(client.configuration.revision, control.state.revision)
  t.is(client.configuration.get(ResourceKind.PriorityClass, 'gold')?.spec.paidWeight, MAX_HISTORY_COUNT * 2)
  t.deepEqual(client.configuration.entryHosts(), [host])
})

test('should reject an older incarnation of a host', t => {
  const control = new MemoryControl({ clock: systemClock })
  const host = { hostId: 'a', dataCentre: 'd', callerAddress: '127.0.0.1:1', peerAddress: '127.0.0.1:2', incarnation: 5 }
  control.apply({ kind: HostCommandKind.Register, host })
  t.is(control.apply({ kind: HostCommandKind.Register, host: { ...host, incarnation: 4 } }).kind, 'olderIncarnation')
  t.is(control.apply({ kind: HostCommandKind.Remove, hostId: 'a', incarnation: 4 }).kind, 'olderIncarnation')
  t.is(control.apply({ kind: HostCommandKind.Remove, hostId: 'a', incarnation: 5 }).kind, 'removed')
})

test('should return increasing fencing numbers, and the same one to the same holder', t => {
  const control = new MemoryControl({ clock: systemClock })
  const acquire = (holder: string) => control.apply({ kind: HostCommandKind.AcquireFence, fenceScope: 'engine-1', holder })
  const first = acquire('a')
  t.deepEqual(acquire('a'), first)
  const second = acquire('b')
  if (first.kind !== 'fenced' || second.kind !== 'fenced') return t.fail()
  t.true(second.fencingNumber > first.fencingNumber)
  t.is(second.previousHolder, 'a')
})

test('should hold the same state after a snapshot was restored', t => {
  const control = new MemoryControl({ clock: systemClock })
  control.apply(apply('first', 1, 0))
  control.apply({ kind: HostCommandKind.AcquireFence, fenceScope: 'engine-1', holder: 'a' })
  const restored = new ControlState(emptyLedgers)
  restored.restore([...control.state.snapshot()])
  t.deepEqual([...restored.snapshot()], [...control.state.snapshot()])
  const resent = checkCommand(apply('first', 1, 0))
  if (resent.kind !== 'valid') return t.fail()
  t.deepEqual(restored.apply(resent.command, { index: 9, atMs: 0 }), control.apply(resent.command))
})
