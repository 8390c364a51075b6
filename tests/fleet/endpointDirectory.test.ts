import test from 'ava'
import { EndpointDirectory } from '../../src/control/fleet/endpointDirectory.js'
import { EndpointLifecycle } from '../../src/protocol/fleet.js'
import { endpoint } from '../fixtures/fleet/fleetFixtures.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const HEARTBEAT_MS = 1_000

function directory () {
  const clock = new VirtualClock()
  return { clock, known: new EndpointDirectory(clock, HEARTBEAT_MS) }
}

test('should tell of an endpoint once, and not of each heartbeat', t => {
  const { known } = directory()
  t.is(known.heartbeat(endpoint('e1', { sequence: 1 })).kind, 'changed')
  t.is(known.heartbeat(endpoint('e1', { sequence: 2 })).kind, 'refreshed')
})

test('should tell again of an endpoint that was heard elsewhere in between', t => {
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

test('should remember an endpoint that took its leave before it was ever heard of', t => {
  const { known } = directory()
  t.is(known.leave('e1'), undefined)
  t.is(known.heartbeat(endpoint('e1', { sequence: 3 })).kind, 'outdated')
})

test('should forget an endpoint that falls silent, with the last sequence heard', async t => {
  const { clock, known } = directory()
  known.heartbeat(endpoint('e1', { sequence: 1 }))
  await clock.advance(3 * HEARTBEAT_MS)
  t.deepEqual(known.expire(), [])
  known.heartbeat(endpoint('e1', { sequence: 2 }))
  await clock.advance(4 * HEARTBEAT_MS)
  t.deepEqual(known.expire().map(({ sequence }) => sequence), [2])
  t.deepEqual(known.all(), [])
})
