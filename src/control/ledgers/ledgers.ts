/**
 * What the replicated state needs of its two ledgers: to apply their
 * commands, and to answer queries.
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

/** Makes the ledgers of one replica; jobs are read from its resources. */
export type LedgersFactory = (resources: ResourceLookup) => Ledgers
