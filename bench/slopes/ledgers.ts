/**
 * The cost of the sample ledger for a control host: size of the state, and
 * processor time of an entire step, by number of samples in a step.
 */
import { encode } from 'cbor-x'
import { LedgerHarness } from '../../tests/fixtures/rollouts/ledgerHarness.js'
import { processorUs } from './ownProcess.js'
import type { SlopeMeasurement } from './slope.js'

const GROUP_SIZE = 8
const SLOTS_PER_LEASE = 4
const HOSTS = 12
const sizes = [128, 256, 512, 1_024]

function openedStep (samplesCount: number): LedgerHarness {
  const groupsPerStepCount = samplesCount / GROUP_SIZE
  const prompts = Array.from({ length: groupsPerStepCount }, (_, index) => `Write a practice hint for card ${index}.`)
  const harness = new LedgerHarness({ prompts, groupSizeCount: GROUP_SIZE, groupsPerStepCount })
  harness.open()
  harness.pull()
  return harness
}

/** Leases and commits every slot of the step, as the hosts of a fleet would; returns the number of commands. */
function runStep (harness: LedgerHarness): number {
  let commandsCount = 0
  for (let host = 0; ; host = (host + 1) % HOSTS) {
    const slots = harness.lease(`h${host}`, SLOTS_PER_LEASE)
    commandsCount += 1 + slots.length
    if (slots.length === 0) return commandsCount
    for (const slot of slots) harness.commit(slot)
  }
}

export const ledgerSlopes: SlopeMeasurement[] = [{
  metrics: [
    {
      name: 'rollouts.stepSnapshotBytes',
      what: 'the ledger of one job in a snapshot, with a whole step committed and not yet confirmed',
      unit: 'bytes'
    },
    {
      name: 'rollouts.stepApplyUs',
      what: 'processor time of a control host to apply all leases and commits of one step (4 slots a lease)',
      unit: 'us'
    }
  ],
  sizeUnit: 'samples of a step',
  sizes,
  repeats: 3,
  async read (size) {
    runStep(openedStep(size))
    const harness = openedStep(size)
    const usedUs = await processorUs(() => { runStep(harness) })
    return [encode(harness.ledger.snapshot()).length, usedUs]
  }
}]
