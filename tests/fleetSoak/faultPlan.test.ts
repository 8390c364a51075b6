import test from 'ava'
import { FaultKind, HostGroup, isHostFault, planFaults, QUIET_AFTER_MS, QUIET_BEFORE_MS, START_FAULTS } from '../../bench/fleetSoak/faultPlan.js'
import { hostCounts } from '../../bench/fleetSoak/soakRun.js'

const HOSTS = hostCounts(2, 4)
const DURATION_MS = 120_000

test('should draw the same faults from the same seed, and others from another', t => {
  const plan = planFaults({ seed: 7, durationMs: DURATION_MS, hosts: HOSTS })
  t.deepEqual(planFaults({ seed: 7, durationMs: DURATION_MS, hosts: HOSTS }), plan)
  t.notDeepEqual(planFaults({ seed: 8, durationMs: DURATION_MS, hosts: HOSTS }), plan)
})

test('should draw every kind over some seeds, and none at the start and the end', t => {
  const all = Array.from({ length: 40 }, (_, seed) => planFaults({ seed: seed + 1, durationMs: DURATION_MS, hosts: HOSTS })).flat()
  t.deepEqual([...new Set(all.map(({ kind }) => kind))].sort(), Object.values(FaultKind).sort())
  t.true(all.every(({ atMs, forMs }) => atMs >= QUIET_BEFORE_MS && atMs + forMs <= DURATION_MS - QUIET_AFTER_MS))
})

test('should disturb one control host and one store host at a time', t => {
  for (let seed = 1; seed <= 40; seed++) {
    const plan = planFaults({ seed, durationMs: DURATION_MS, hosts: HOSTS }).filter(({ kind }) => isHostFault(kind) && kind !== FaultKind.PowerLoss)
    for (const group of [HostGroup.Control, HostGroup.Store]) {
      const faults = plan.filter(fault => fault.group === group)
      t.true(faults.every((fault, index) => index === 0 || fault.atMs > faults[index - 1]!.atMs + faults[index - 1]!.forMs))
    }
  }
})

test('should draw only the requested kinds', t => {
  const plan = planFaults({ seed: 3, durationMs: DURATION_MS, hosts: HOSTS, only: [FaultKind.EndpointDeregisters] })
  t.true(plan.length > 0)
  t.true(plan.every(({ kind }) => kind === FaultKind.EndpointDeregisters))
})

// Seeds that showed a fault stay tests, so that what they draw must not change with new kinds.
test('should keep the other faults of a seed beside faults of starts', t => {
  const others = Object.values(FaultKind).filter(kind => !START_FAULTS.includes(kind))
  for (let seed = 1; seed <= 40; seed++) {
    const plan = planFaults({ seed, durationMs: DURATION_MS, hosts: HOSTS })
    t.deepEqual(plan.filter(({ kind }) => others.includes(kind)), planFaults({ seed, durationMs: DURATION_MS, hosts: HOSTS, only: others }))
  }
})
