import test from 'ava'
import { hostCounts, runSoak } from '../../bench/fleetSoak/soakRun.js'

const SEED = 2
const DURATION_MS = 25_000

test('should keep every guarantee of the platform\'s programs during a short run with faults', async t => {
  t.timeout(180_000)
  const { violations, record } = await runSoak({ seed: SEED, durationMs: DURATION_MS, hosts: hostCounts(1, 3) })
  t.deepEqual(violations, [])
  t.true(record.calls.some(({ status }) => status === 200))
  t.true(record.batches.some(({ atEnd }) => atEnd !== undefined && atEnd.length > 0))
  t.true(record.leaves.length > 0)
  t.true(record.disturbances.length > 0)
})
