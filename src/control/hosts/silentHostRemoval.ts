/**
 * Removes entry hosts from the configuration that have not renewed their lease
 * for a long time, so that no caller is directed to them and the registry does not
 * grow. A removed host registers again when it reconnects.
 */
import { HostCommandKind } from '../../protocol/hostCommands.js'
import { sleepUntil, type Clock } from '../../utils/clock.js'
import type { Logger } from '../../utils/logger.js'
import { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import { ControlEvent } from '../controlEvents.js'
import type { ControlNode } from '../controlNode.js'

/** Much longer than a lease, so that a host that only lost its lease stays registered. */
export const HOST_SILENCE_TIMEOUT_MS = 15_000
const REVIEW_INTERVAL_MS = 1_000

export class SilentHostRemoval {
  private readonly _node: ControlNode
  private readonly _clock: Clock
  private readonly _logger: Logger

  constructor (node: ControlNode, clock: Clock, logger: Logger) {
    this._node = node
    this._clock = clock
    this._logger = logger
  }

  async run (scope: Scope): Promise<void> {
    for (;;) {
      await sleepUntil(this._clock, scope, this._clock.nowMs() + REVIEW_INTERVAL_MS)
      if (this._node.isLeader) await this._review(scope)
    }
  }

  private async _review (scope: Scope): Promise<void> {
    this._node.leases.enterTerm(this._node.replica.core.term)
    for (const host of this._node.state.hosts.all()) {
      // For a new leader the time limit of every host starts with the term.
      const lastSeenAtMs = this._node.leases.get(host.hostId)?.renewedAtMs ?? this._node.leases.termSinceMs
      if (this._clock.nowMs() - lastSeenAtMs < HOST_SILENCE_TIMEOUT_MS) continue
      this._logger.event(ControlEvent.EntryHostSilent, { hostId: host.hostId })
      const progress = new Progress(this._clock, scope, this._clock.nowMs() + REVIEW_INTERVAL_MS)
      await this._node.submit({ kind: HostCommandKind.Remove, hostId: host.hostId, incarnation: host.incarnation }, progress)
      this._node.leases.forget(host.hostId)
    }
  }
}
