/**
 * Retires store hosts: the leader removes the host from the members, waits until
 * every remaining voter has the log up to that change, and only then reports that
 * the host can be shut down.
 */
import type { ControlCommands } from '../fleet/controlCommands.js'
import type { FleetView } from '../fleet/fleetView.js'
import { RoutingCommandKind, type Retirement } from '../protocol/routingCommands.js'
import type { Leadership } from '../replication/log/leadership.js'
import { votersOf } from '../replication/log/members.js'
import type { Replica } from '../replication/log/replica.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import { BatchEvent } from './batchEvents.js'

const REVIEW_INTERVAL_MS = 150
const COMMAND_TIMEOUT_MS = 2_000

export interface StoreRetirementOptions {
  replica: Replica
  leadership: Leadership
  view: FleetView
  commands: ControlCommands
  clock: Clock
  logger: Logger
}

export class StoreRetirement {
  private readonly _options: StoreRetirementOptions

  constructor (options: StoreRetirementOptions) {
    this._options = options
  }

  async run (scope: Scope): Promise<void> {
    const { clock, view } = this._options
    for (;;) {
      for (const retirement of view.openRetirements()) await this._advance(retirement, scope)
      await sleepUntil(clock, scope, clock.nowMs() + REVIEW_INTERVAL_MS)
    }
  }

  private async _advance (retirement: Retirement, scope: Scope): Promise<void> {
    const { replica, clock, commands, logger } = this._options
    const isMember = replica.core.members.some(({ hostId }) => hostId === retirement.hostId)
    if (isMember) {
      const outcome = replica.remove(retirement.hostId)
      logger.event(BatchEvent.HostRetired, { hostName: retirement.hostName, outcome: outcome.kind, isEmptied: false })
      return
    }
    if (!this._isReplicatedElsewhere()) return
    const progress = new Progress(clock, scope, clock.nowMs() + COMMAND_TIMEOUT_MS)
    const reply = await commands.submit({ kind: RoutingCommandKind.EndRetirement, hostName: retirement.hostName }, progress)
    logger.event(BatchEvent.HostRetired, { hostName: retirement.hostName, outcome: reply.kind, isEmptied: true })
  }

  /** Whether every remaining voter has the log up to the change that removed the host. */
  private _isReplicatedElsewhere (): boolean {
    const { replica, leadership } = this._options
    if (!leadership.mayChangeMembers()) return false
    const { latestIndex } = replica.core.state.members
    const others = votersOf(replica.core.members).filter(({ replicaId }) => replicaId !== replica.core.replicaId)
    return others.every(({ replicaId }) => (leadership.progressOf(replicaId)?.matchIndex ?? 0) >= latestIndex)
  }
}
