import test from 'ava'
import { ConfigurationLease } from '../../src/controlClient/configurationLease.js'
import { FollowedConfiguration } from '../../src/controlClient/followedConfiguration.js'
import type { LeaderLink } from '../../src/controlClient/leaderLink.js'
import { sleepUntil } from '../../src/utils/clock.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Scope } from '../../src/utils/scope.js'
import { HostClock } from '../fixtures/hostClock.js'
import { VirtualClock } from '../fixtures/virtualClock.js'

const LEASE_MS = 4_000
const ROUND_TRIP_MS = 5

function leaseOf (clock: HostClock, scope: Scope): ConfigurationLease {
  const call = async () => {
    await sleepUntil(clock, scope, clock.nowMs() + ROUND_TRIP_MS)
    return { kind: 'replied', body: { kind: 'renewed', clusterId: 'c', leaseMs: LEASE_MS, changes: [] } }
  }
  const lease = new ConfigurationLease({
    clock,
    metrics: memoryMetrics(),
    link: { call, dropLeader: () => {} } as unknown as LeaderLink,
    configuration: new FollowedConfiguration(),
    host: { hostId: 'entry-1', dataCentre: 'hal', callerAddress: '10.0.0.1:1', peerAddress: '10.0.0.1:2', incarnation: 1 },
    operatorAddress: undefined,
    register: async () => true
  })
  lease.run(scope).catch(() => {})
  return lease
}

const ended: Array<[string, (clock: HostClock, shared: VirtualClock) => Promise<void>]> = [
  ['its machine was suspended', async (clock, shared) => {
    clock.suspend()
    await shared.advance(10_000)
    clock.wake()
  }],
  ['somebody set the time of day', async clock => clock.shiftTimeOfDay(10_000)]
]

for (const [what, end] of ended) {
  test(`should hold no lease after ${what}, and have it again within a round trip for whoever waits`, async t => {
    const shared = new VirtualClock()
    const clock = new HostClock(shared, 50)
    const scope = new Scope('test')
    const lease = leaseOf(clock, scope)
    await shared.advance(300)
    t.true(lease.isHeld())
    await end(clock, shared)
    t.false(lease.isHeld())
    const fromMs = shared.nowMs()
    await shared.advanceUntil(lease.awaitRenewal(scope))
    t.true(lease.isHeld())
    t.true(shared.nowMs() - fromMs <= 2 * ROUND_TRIP_MS, `${shared.nowMs() - fromMs} ms`)
    scope.close('test over')
  })
}
