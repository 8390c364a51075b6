/**
 * The ledgers of a control host.
 */
import { ResourceKind } from '../../protocol/resources.js'
import type { LedgersFactory } from './ledgers.js'
import { RolloutLedger } from './rolloutLedger.js'
import { UnrepeatableLedger } from './unrepeatableLedger.js'

export const createLedgers: LedgersFactory = resources => ({
  unrepeatable: new UnrepeatableLedger(),
  rollouts: new RolloutLedger(job => resources.get(ResourceKind.RolloutJob, job)?.spec)
})
