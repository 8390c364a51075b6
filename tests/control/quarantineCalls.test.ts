import test from 'ava'
import type { ControlNode } from '../../src/control/controlNode.js'
import { QuarantineCalls } from '../../src/control/operatorApi/quarantineCalls.js'
import { RoutingState } from '../../src/control/routing/routingState.js'
import { RoutingCommandKind, type RoutingCommand } from '../../src/protocol/routingCommands.js'
import { Progress } from '../../src/utils/progress.js'
import { Scope } from '../../src/utils/scope.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const DIGEST = 'd'.repeat(32)
const progress = new Progress(new VirtualClock(), new Scope('test'), 1_000)

function callsOf (routing: RoutingState, isLed = true): QuarantineCalls {
  return new QuarantineCalls({ state: { routing } } as ControlNode, {
    read: async () => (isLed ? { kind: 'confirmed' } : { kind: 'unavailable', reason: 'no leader is known' }),
    submit: async command => ({ kind: 'committed', result: routing.apply(command as RoutingCommand, { atMs: 9 }) })
  })
}

function condemned (): RoutingState {
  const routing = new RoutingState()
  for (const endpointId of ['e1', 'e2', 'e3']) routing.apply({ kind: RoutingCommandKind.RecordEnds, ends: [{ endpointId, digests: [DIGEST] }] }, { atMs: 1 })
  return routing
}

test('should list condemned requests, and release one', async t => {
  const calls = callsOf(condemned())
  const listed = await calls.list(progress)
  t.like(listed, { kind: 'done', body: { requests: [{ digest: DIGEST, verdict: 'condemned' }] } })
  t.is((await calls.lift(DIGEST, progress)).kind, 'done')
  t.deepEqual(await calls.list(progress), { kind: 'done', body: { requests: [] } })
})

test('should report a malformed or unknown digest, and a missing leader', async t => {
  const calls = callsOf(condemned())
  t.is((await calls.lift('d', progress)).kind, 'malformedDigest')
  t.is((await calls.lift('e'.repeat(32), progress)).kind, 'unknownDigest')
  t.like(await callsOf(condemned(), false).lift(DIGEST, progress), { kind: 'unavailable' })
})
