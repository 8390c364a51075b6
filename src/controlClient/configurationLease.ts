/**
 * The configuration lease of an entry host. Each renewal brings whatever the
 * host lacks of the committed configuration, so a host that holds a lease is
 * never further behind than the lease is long. The lease counts from the
 * moment the renewal was sent, by this host's clock that counts suspensions.
 */
import { HostCommandKind, type EntryHost } from '../protocol/hostCommands.js'
import type { ChangesNotice, RenewReply } from '../protocol/controlMessages.js'
import { renewMethod } from '../transport/controlMethods.js'
import type { Clock } from '../utils/clock.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import { Signal } from '../utils/signal.js'
import type { FollowedConfiguration } from './followedConfiguration.js'
import type { LeaderLink } from './leaderLink.js'

export const RENEW_INTERVAL_MS = 1_000
/** A leader that does not answer a renewal for so long is given up. */
const RENEW_TIMEOUT_MS = 600
const RETRY_MS = 100

/** Puts a command into the log; true when it was committed. */
export type Register = (host: EntryHost, progress: Progress) => Promise<boolean>

export interface ConfigurationLeaseParts {
  clock: Clock
  metrics: Metrics
  link: LeaderLink
  configuration: FollowedConfiguration
  host: EntryHost
  operatorAddress: string | undefined
  register: Register
}

/** When a renewal was sent, by this host's two clocks. */
interface SentAt {
  sentAtMs: number
  /** By the clock that counts suspensions. */
  leaseMs: number
}

enum RenewResult {
  Renewed,
  /** Worth another try soon. */
  Failed,
  Unregistered
}

export class ConfigurationLease {
  private readonly _parts: ConfigurationLeaseParts
  private readonly _changed = new Signal()
  private _clusterId: string | undefined
  private _endsAtMs = Number.NEGATIVE_INFINITY
  private _endsBySteadyClockMs = Number.NEGATIVE_INFINITY
  /** Notified after each renewal, whatever came of it. */
  private readonly _settled = new Signal()
  private _hasLease = false
  private _isSuperseded = false
  /** A pushed change that the leader has not heard of as in force. */
  private _hasNews = false

  constructor (parts: ConfigurationLeaseParts) {
    this._parts = parts
  }

  /** True while this host may take new work. */
  isHeld (): boolean {
    return this._parts.clock.leaseNowMs() < this._endsAtMs
  }

  /**
   * Waits for a renewal when a suspension, or a clock that was set, has just ended
   * the lease: whoever asks in that moment need not be turned away. Returns at once
   * otherwise.
   * @throws ScopeClosedError when the scope closes first.
   */
  async settle (scope: Scope): Promise<void> {
    const { clock } = this._parts
    const isInDoubt = !this._isSuperseded && !this.isHeld() && clock.nowMs() < this._endsBySteadyClockMs
    if (!isInDoubt) return
    this._changed.notify()
    await this._settled.wait(scope, { clock, deadlineMs: clock.nowMs() + RENEW_TIMEOUT_MS })
  }

  /** Ends the lease for good, as on a planned stop. */
  release (): void {
    this._isSuperseded = true
    this._endsAtMs = Number.NEGATIVE_INFINITY
  }

  /** Takes changes that the leader pushes. */
  onChanges (notice: ChangesNotice): void {
    if (notice.clusterId !== this._clusterId) return
    this._parts.configuration.applyChanges(notice.changes)
    this._noteRevision()
    this._hasNews = true
    this._changed.notify()
  }

  /** Renews until the scope closes. */
  async run (scope: Scope): Promise<void> {
    const { clock } = this._parts
    for (;;) {
      const result = this._isSuperseded ? RenewResult.Failed : await this._renew(scope)
      this._settled.notify()
      this._countLoss()
      if (result === RenewResult.Unregistered) await this._register(scope)
      const pauseMs = result === RenewResult.Renewed ? RENEW_INTERVAL_MS : RETRY_MS
      // News are confirmed at once: whoever waits for a change to be in force sees it.
      if (!this._hasNews) await this._changed.wait(scope, { clock, deadlineMs: clock.nowMs() + pauseMs })
      this._hasNews = false
    }
  }

  private async _register (scope: Scope): Promise<void> {
    const { clock, host } = this._parts
    await this._parts.register(host, new Progress(clock, scope, clock.nowMs() + RENEW_TIMEOUT_MS))
    this._hasNews = true
  }

  private async _renew (scope: Scope): Promise<RenewResult> {
    const { clock, link, host, configuration, operatorAddress } = this._parts
    const { hostId, incarnation } = host
    const sentAtMs = clock.nowMs()
    const sentAt = { sentAtMs, leaseMs: clock.leaseNowMs() }
    const request = { hostId, incarnation, clusterId: this._clusterId, revision: configuration.revision, operatorAddress }
    const outcome = await link.call(renewMethod, request, new Progress(clock, scope, sentAtMs + RENEW_TIMEOUT_MS))
    if (outcome.kind === 'replied') return this._onReply(outcome.body, sentAt)
    link.giveUp(outcome.reason)
    return RenewResult.Failed
  }

  private _onReply (reply: RenewReply, sentAt: SentAt): RenewResult {
    const { configuration, link } = this._parts
    switch (reply.kind) {
      case 'renewed':
        configuration.applyChanges(reply.changes)
        return this._granted(reply, sentAt)
      case 'listing':
        configuration.applyListing(reply.listing)
        return this._granted(reply, sentAt)
      case 'unregistered':
        return RenewResult.Unregistered
      case 'superseded':
        this.release()
        return RenewResult.Failed
      case 'notLeader':
        link.giveUp('not the leader', reply.leaderAddress)
        return RenewResult.Failed
      case 'foreign':
        // Its configuration would go back: stay without a lease until the right cluster answers.
        link.giveUp('another cluster, or one that lost what was committed')
        return RenewResult.Failed
      case 'unavailable':
        return RenewResult.Failed
    }
  }

  private _granted (reply: { clusterId: string, leaseMs: number }, sentAt: SentAt): RenewResult {
    this._clusterId ??= reply.clusterId
    if (!this._isSuperseded) {
      this._endsAtMs = Math.max(this._endsAtMs, sentAt.leaseMs + reply.leaseMs)
      this._endsBySteadyClockMs = Math.max(this._endsBySteadyClockMs, sentAt.sentAtMs + reply.leaseMs)
    }
    this._hasLease = true
    this._parts.metrics.count(MetricName.LeaseRenewed)
    this._noteRevision()
    return RenewResult.Renewed
  }

  private _countLoss (): void {
    if (!this._hasLease || this.isHeld()) return
    this._hasLease = false
    this._parts.metrics.count(MetricName.LeaseLost)
  }

  private _noteRevision (): void {
    this._parts.metrics.gauge(MetricName.ConfigurationRevision, this._parts.configuration.revision)
  }
}

/** The command by which a host enters the registry. */
export function registerCommand (host: EntryHost) {
  return { kind: HostCommandKind.Register, host } as const
}
