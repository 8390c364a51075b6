/**
 * Reports usage to the infrastructure while this control host leads. The leader
 * holds the duty, and the leader's term fences off earlier leaders.
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

/** Settings of the duty. */
export interface UsageDutySettings {
  /** Name under which this host reports to the infrastructure. */
  holder: string
  windowMs: number
  /** Time after the end of a window until its report is due. */
  lateMs: number
  /** The duty does not pass back and forth between two hosts within this time. */
  leaseMs: number
}

export interface UsageDutyOptions {
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
  private readonly _options: UsageDutyOptions

  constructor (options: UsageDutyOptions) {
    this._options = options
  }

  async run (scope: Scope): Promise<void> {
    const { replica } = this._options.node
    for (;;) {
      const { leadership } = replica
      if (leadership) await this._runWhileLeader(leadership, scope)
      else await replica.core.leaderChanged.wait(scope)
    }
  }

  /** Discards usage of closed windows. Only the leader closes windows, but all control hosts receive usage reports. */
  async forgetClosed (scope: Scope): Promise<void> {
    const { clock, node, followers } = this._options
    await everySecond(clock, scope, () => {
      const { nextWindowId } = node.state.usage
      if (nextWindowId !== undefined) followers.usage.forgetBefore(nextWindowId)
    })
  }

  private async _runWhileLeader (leadership: Leadership, scope: Scope): Promise<void> {
    const supervisor = this._options.supervisor.child(`usage duty in term ${leadership.term}`)
    leadership.scope.onClose(() => supervisor.scope.close('leadership over'))
    const leadershipEnded = new Promise<void>(resolve => supervisor.scope.onClose(resolve))
    supervisor.spawn('usage', taskScope => this._reportUsage(leadership, taskScope))
    await scope.race(leadershipEnded)
  }

  private async _reportUsage (leadership: Leadership, scope: Scope): Promise<void> {
    const { settings, infrastructure, node, followers, clock, logger, metrics } = this._options
    await node.replica.whenCaughtUp(scope)
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
