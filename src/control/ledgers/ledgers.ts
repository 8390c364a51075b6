/**
 * The interface of the two ledgers in the replicated state: they apply commands
 * and answer queries.
 */
import type { UnrepeatableState } from '../../protocol/queries.js'
import type { RolloutCommand, RolloutResult } from '../../protocol/rolloutCommands.js'
import type { RolloutProgress } from '../../protocol/rolloutProgress.js'
import type { UnrepeatableCommand, UnrepeatableResult } from '../../protocol/unrepeatableCommands.js'
import type { StatePart } from '../../replication/replicatedState.js'
import type { ResourceLookup } from '../resources/resourceStore.js'

export interface UnrepeatableLedgerState extends StatePart<UnrepeatableCommand, UnrepeatableResult> {
  stateOf (callerName: string, idempotencyKey: string): UnrepeatableState
}

export interface RolloutLedgerState extends StatePart<RolloutCommand, RolloutResult> {
  progress (job: string): RolloutProgress | null
}

export interface Ledgers {
  unrepeatable: UnrepeatableLedgerState
  rollouts: RolloutLedgerState
}

/** Creates the ledgers of one replica, which read job specifications from its resources. */
export type LedgersFactory = (resources: ResourceLookup) => Ledgers
