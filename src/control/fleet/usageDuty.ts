/**
 * Reports use to the infrastructure for as long as this control host leads: the
 * leader holds the duty, and its term is the fence.
 */
import { DutyLease } from '../../duties/dutyLease.js'
import type { Infrastructure } from '../../duties/infrastructure.js'
import { UsageReporting } from '../../duties/usageReporting.js'
import type { Leadership } from '../../replication/log/leadership.js'
import type { Clock } from '../../utils/clock.js'
import { everySecond } from '../../utils/everySecond.js'
import type { Logger } from '../../utils/logger.js'
import type { Metrics } from '../../utils/metrics.js'
import type { Scope } from '../../utils/scope.js'
import type { Supervisor } from '../../utils/supervisor.js'
import type { ControlNode } from '../controlNode.js'
import type { FollowerSessions } from './followerSessions.js'

/** What an operator knows of the duty, from the settings. */
export interface UsageDutySettings {
  /** Name of this host, as the infrastructure is told. */
  holder: string
  windowMs: number
  /** After the end of a window, its report is due. */
  lateMs: number
  /** Two hosts may not act by turns within this time. */
  leaseMs: number
}

export interface UsageDutyParts {
  settings: UsageDutySettings
  infrastructure: Infrastructure
  node: ControlNode
  followers: FollowerSessions
  clock: Clock
  logger: Logger
  metrics: Metrics
  supervisor: Supervisor
}

export class UsageDuty {
  private readonly _parts: UsageDutyParts

  constructor (parts: UsageDutyParts) {
    this._parts = parts
  }

  async run (scope: Scope): Promise<void> {
    const { replica } = this._parts.node
    for (;;) {
      const { leadership } = replica
      if (leadership) await this._hold(leadership, scope)
      else await replica.core.leaderChanged.wait(scope)
    }
  }

  /** Only the leader closes windows; what others were told of closed ones is forgotten all the same. */
  async forgetClosed (scope: Scope): Promise<void> {
    const { clock, node, followers } = this._parts
    await everySecond(clock, scope, () => {
      const { nextWindowId } = node.state.usage
      if (nextWindowId !== undefined) followers.usage.forgetBefore(nextWindowId)
    })
  }

  private async _hold (leadership: Leadership, scope: Scope): Promise<void> {
    const supervisor = this._parts.supervisor.child(`duty of use in term ${leadership.term}`)
    leadership.scope.onClose(() => supervisor.scope.close('leadership over'))
    const over = new Promise<void>(resolve => supervisor.scope.onClose(resolve))
    supervisor.spawn('usage', taskScope => this._report(leadership, taskScope))
    await scope.race(over)
  }

  private async _report (leadership: Leadership, scope: Scope): Promise<void> {
    const { settings, infrastructure, node, followers, clock, logger, metrics } = this._parts
    await node.replica.whenCurrent(scope)
    const ledger = node.state.usage
    const lease = new DutyLease({ clock, leadership, holder: settings.holder, latestHolder: () => ledger.holder, leaseMs: settings.leaseMs })
    const reporting = new UsageReporting({
      ...settings,
      clock,
      logger,
      metrics,
      lease,
      ledger,
      infrastructure,
      tally: followers.usage,
      wallMs: () => followers.wallMs(),
      hostIds: () => followers.entryHostIds(),
      hasAccounts: () => node.state.routing.routing?.accounts !== undefined,
      commit: async (command, progress) => (await node.submit(command, progress)).kind === 'committed'
    })
    await reporting.run(scope)
  }
}
