import test from 'ava'
import { EndpointDirectory } from '../../src/control/fleet/endpointDirectory.js'
import { EndpointUpdateKind } from '../../src/control/fleet/endpointUpdateKind.js'
import { RecordedLeaves } from '../../src/control/routing/recordedLeaves.js'
import { EndpointLifecycle } from '../../src/protocol/fleet.js'
import { endpoint, incarnation } from '../fixtures/fleet/fleetFixtures.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const HEARTBEAT_MS = 1_000

function directory () {
  const clock = new VirtualClock()
  const leaves = new RecordedLeaves()
  return { clock, known: new EndpointDirectory(clock, HEARTBEAT_MS, leaves), leaves }
}

test('should announce an endpoint once, and not with each heartbeat', t => {
  const { known } = directory()
  t.is(known.heartbeat(endpoint('e1', { sequence: 1 })).kind, 'changed')
  t.is(known.heartbeat(endpoint('e1', { sequence: 2 })).kind, 'refreshed')
})

test('should announce an endpoint again whose heartbeats were received elsewhere in between', t => {
  const { known } = directory()
  known.heartbeat(endpoint('e1', { sequence: 1 }))
  t.is(known.heartbeat(endpoint('e1', { sequence: 9 })).kind, 'changed')
})

test('should ignore a heartbeat that comes late', t => {
  const { known } = directory()
  known.heartbeat(endpoint('e1', { sequence: 5, lifecycle: EndpointLifecycle.Leaving }))
  t.is(known.heartbeat(endpoint('e1', { sequence: 4 })).kind, 'outdated')
  t.is(known.all()[0]?.lifecycle, EndpointLifecycle.Leaving)
})

test('should not bring an endpoint back that has left', t => {
  const { known } = directory()
  known.heartbeat(endpoint('e1', { sequence: 1 }))
  t.is(known.leave('e1')?.lifecycle, EndpointLifecycle.Gone)
  t.is(known.heartbeat(endpoint('e1', { sequence: 2 })).kind, 'outdated')
})

test('should remember the leave of an endpoint that had not sent a heartbeat yet', t => {
  const { known } = directory()
  t.is(known.leave('e1'), undefined)
  t.is(known.heartbeat(endpoint('e1', { sequence: 3 })).kind, 'outdated')
})

test('should expire an endpoint without heartbeats, with the last sequence received', async t => {
  const { clock, known } = directory()
  known.heartbeat(endpoint('e1', { sequence: 1 }))
  await clock.advance(3 * HEARTBEAT_MS)
  t.deepEqual(known.expire(), [])
  known.heartbeat(endpoint('e1', { sequence: 2 }))
  await clock.advance(4 * HEARTBEAT_MS)
  t.deepEqual(known.expire().map(({ sequence }) => sequence), [2])
  t.deepEqual(known.all(), [])
})

test('should treat an endpoint that restarted under its name as a new one, whose sequence starts again', t => {
  const { known } = directory()
  known.heartbeat(incarnation('e1', 1_000, { sequence: 40 }))
  const outcome = known.heartbeat(incarnation('e1', 2_000, { sequence: 1 }))
  t.like(outcome, { kind: 'changed', news: EndpointUpdateKind.Endpoint, endpoint: { endpointId: 'e1@2000', sequence: 1 } })
  t.is(outcome.kind === 'changed' ? outcome.replaced?.endpointId : undefined, 'e1@1000')
  t.deepEqual(known.all().map(({ endpointId }) => endpointId), ['e1@2000'])
})

test('should accept an endpoint at once that restarted after it had left', t => {
  const { known } = directory()
  known.heartbeat(incarnation('e1', 1_000, { sequence: 7 }))
  known.leave('e1')
  t.is(known.heartbeat(incarnation('e1', 1_000, { sequence: 8 })).kind, 'outdated')
  t.is(known.heartbeat(incarnation('e1', 2_000, { sequence: 1 })).kind, 'changed')
})

test('should ignore a late heartbeat or leave of an earlier incarnation', t => {
  const { known } = directory()
  known.heartbeat(incarnation('e1', 2_000, { sequence: 3 }))
  t.is(known.heartbeat(incarnation('e1', 1_000, { sequence: 90, lifecycle: EndpointLifecycle.Leaving })).kind, 'outdated')
  t.is(known.leave('e1', 1_000), undefined)
  t.like(known.all()[0], { endpointId: 'e1@2000', lifecycle: EndpointLifecycle.Ready })
})

test('should soon forget the leave of an unknown endpoint, as it may have restarted', async t => {
  const { clock, known } = directory()
  known.leave('e1')
  t.is(known.heartbeat(incarnation('e1', 1_000, { sequence: 9 })).kind, 'outdated')
  await clock.advance(10_000)
  t.is(known.heartbeat(incarnation('e1', 2_000, { sequence: 9 })).kind, 'changed')
})

test('should not accept an incarnation that left before its first heartbeat, while an earlier one is known', t => {
  const { known } = directory()
  known.heartbeat(incarnation('e1', 1_000, { sequence: 5 }))
  t.is(known.leave('e1', 2_000)?.endpointId, 'e1@1000')
  t.is(known.heartbeat(incarnation('e1', 2_000, { sequence: 3 })).kind, 'outdated')
})
