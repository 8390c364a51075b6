import test from 'ava'
import { decideRetirement } from '../../src/control/fleet/retirementRequest.js'
import { HostRole, type FleetHost } from '../../src/protocol/fleet.js'
import { RetirementState } from '../../src/protocol/routingCommands.js'

const TOLERATED_LOSSES = 1

function stores (...names: string[]): FleetHost[] {
  return names.map(name => ({ hostId: `id of ${name}`, hostName: name, dataCentre: 'north', role: HostRole.Store, isServing: true }))
}

function decide (following: FleetHost[], latelyLost: FleetHost[] = [], retiringNames: string[] = []): string {
  const retirements = retiringNames.map(hostName => ({ hostName, hostId: `id of ${hostName}`, state: RetirementState.Serving }))
  return decideRetirement({ hostName: 's1', following, latelyLost, retirements, toleratedLosses: TOLERATED_LOSSES }).kind
}

test('should let a store host retire while enough remain, and refuse when too few would', t => {
  t.is(decide(stores('s1', 's2', 's3', 's4')), 'begin')
  t.is(decide(stores('s1', 's2', 's3')), 'tooFewLeft')
  t.is(decide(stores('s1', 's2', 's3', 's4'), [], ['s4']), 'tooFewLeft')
})

test('should not refuse definitively while recently lost hosts may be reconnecting', t => {
  t.is(decide(stores('s1', 's2', 's3'), stores('s4')), 'unsure')
  t.is(decide(stores('s2', 's3', 's4'), stores('s1')), 'begin')
  t.is(decide([]), 'unsure', 'this control host has just started')
})

test('should not know a host that never followed', t => {
  t.is(decide(stores('s2', 's3')), 'unknownHost')
})
