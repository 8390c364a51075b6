/**
 * Submits commands to the leader of the control hosts, on behalf of a host that
 * follows the control hosts.
 */
import type { SubmitReply } from '../protocol/controlMessages.js'
import type { RoutingCommand } from '../protocol/routingCommands.js'
import { PeerLinks } from '../replication/log/peerLinks.js'
import { submitMethod } from '../transport/controlMethods.js'
import type { Transport } from '../transport/connection.js'
import { sleepUntil } from '../utils/clock.js'
import type { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'

const TRY_TIMEOUT_MS = 800
const RETRY_PAUSE_MS = 50

export class ControlCommands {
  private readonly _links: PeerLinks
  private readonly _addresses: () => string[]
  private _next = 0

  /** @param addresses returns the addresses of the control hosts known now */
  constructor (addresses: () => string[], transport: Transport, scope: Scope, onFatal: (error: unknown) => void) {
    this._addresses = addresses
    this._links = new PeerLinks(transport, scope, onFatal)
  }

  /** Like `submit`; resolves with true once a quorum has the command, with false when the deadline passes first. */
  async commit (command: RoutingCommand, progress: Progress): Promise<boolean> {
    return (await this.submit(command, progress)).kind === 'committed'
  }

  /** Commits a command, which must be idempotent: retries may commit it twice. Resolves with the last reply when the deadline passes. */
  async submit (command: RoutingCommand, progress: Progress): Promise<SubmitReply> {
    let hint: string | undefined
    let last: SubmitReply = { kind: 'notCommitted', reason: 'no control host is known' }
    while (!progress.isPastDeadline()) {
      const addresses = this._addresses()
      const address = hint ?? addresses[this._next++ % Math.max(1, addresses.length)]
      hint = undefined
      if (address !== undefined) {
        const outcome = await this._links.to({ peerAddress: address }).call(submitMethod, { command }, progress.withDeadline(progress.clock.nowMs() + TRY_TIMEOUT_MS))
        if (outcome.kind === 'replied') last = outcome.body
        if (last.kind === 'committed') return last
        if (last.kind === 'notLeader') hint = last.leaderAddress
      }
      await sleepUntil(progress.clock, progress.scope, Math.min(progress.deadlineMs, progress.clock.nowMs() + RETRY_PAUSE_MS))
    }
    return last
  }
}
