import test from 'ava'
import { FaultKind, START_FAULTS } from '../../bench/fleetSoak/faultPlan.js'
import { hostCounts, runSoak } from '../../bench/fleetSoak/soakRun.js'

const SEED = 2
const DURATION_MS = 25_000
/** Crowds of clients need the machine to themselves: crowds/fleetSoak. Faults of starts have a run of their own. */
const BESIDE_OTHER_TESTS = Object.values(FaultKind).filter(kind => kind !== FaultKind.ClientCrowd && !START_FAULTS.includes(kind))
const STOPS_SEED = 41
const STOPS_DURATION_MS = 30_000
const STARTS_SEED = 40
const STARTS_DURATION_MS = 20_000

test('should keep every guarantee of the platform\'s programs during a short run with faults', async t => {
  t.timeout(180_000)
  const { violations, record } = await runSoak({ seed: SEED, durationMs: DURATION_MS, hosts: hostCounts(1, 3), only: BESIDE_OTHER_TESTS })
  t.deepEqual(violations, [])
  t.true(record.calls.some(({ status }) => status === 200))
  t.true(record.batches.some(({ atEnd }) => atEnd !== undefined && atEnd.length > 0))
  t.true(record.leaves.length > 0)
  t.true(record.disturbances.length > 0)
})

// A host that was asked to stop passed requests on, and cut them off while endpoints worked on them.
test('should cut off no request that a stopping host has passed on, whose callers go on until it is gone', async t => {
  t.timeout(180_000)
  const { violations, record } = await runSoak({ seed: STOPS_SEED, durationMs: STOPS_DURATION_MS, hosts: hostCounts(2, 4), only: [FaultKind.Stop] })
  t.deepEqual(violations, [])
  t.true(record.stopCalls.some(({ status }) => status === 200))
})

// Programs ended by a SIGHUP while they started, with code 2 by settings that were still being written, and at each start while another program held one of their ports.
test('should keep every program running while settings change, signals come and ports are held at its start', async t => {
  t.timeout(180_000)
  const { violations, record } = await runSoak({ seed: STARTS_SEED, durationMs: STARTS_DURATION_MS, hosts: hostCounts(2, 3), only: START_FAULTS })
  t.deepEqual(violations, [])
  t.true(record.calls.some(({ status }) => status === 200))
  t.true(record.disturbances.length > 0)
})
