/**
 * The configuration lease of an entry host. Each renewal returns the committed
 * configuration changes that the host lacks, so the configuration of a host that
 * holds a lease is never older than the lease duration. The lease starts when the
 * renewal request is sent, measured by a local clock that includes suspensions.
 */
import { HostCommandKind, type EntryHost } from '../protocol/hostCommands.js'
import type { ChangesNotification, RenewReply } from '../protocol/controlMessages.js'
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
/** If the leader does not answer a renewal within this time, the client searches for another leader. */
const RENEW_TIMEOUT_MS = 600
const RETRY_MS = 100

/** Registers the host through the replicated log; true if the command was committed. */
export type Register = (host: EntryHost, progress: Progress) => Promise<boolean>

export interface ConfigurationLeaseOptions {
  clock: Clock
  metrics: Metrics
  link: LeaderLink
  configuration: FollowedConfiguration
  host: EntryHost
  operatorAddress: string | undefined
  register: Register
}

/** When a renewal was sent, by both clocks of this host. */
interface SentAt {
  sentAtMs: number
  /** By the clock that includes suspensions. */
  leaseMs: number
}

enum RenewResult {
  Renewed,
  /** The renewal can be retried after a short pause. */
  Failed,
  Unregistered
}

export class ConfigurationLease {
  private readonly _options: ConfigurationLeaseOptions
  private readonly _changed = new Signal()
  private _clusterId: string | undefined
  private _endsAtMs = Number.NEGATIVE_INFINITY
  private _endsBySteadyClockMs = Number.NEGATIVE_INFINITY
  /** Notified after each renewal attempt, successful or not. */
  private readonly _renewalEnded = new Signal()
  private _hasLease = false
  private _isSuperseded = false
  /** A pushed change is in force here, but no renewal has reported this to the leader yet. */
  private _hasUnconfirmedChanges = false

  constructor (options: ConfigurationLeaseOptions) {
    this._options = options
  }

  /** True while this host may accept new work. */
  isHeld (): boolean {
    return this._options.clock.leaseNowMs() < this._endsAtMs
  }

  /**
   * Waits for a renewal attempt if a suspension or a clock adjustment has just ended
   * the lease, so that requests which arrive at that moment need not be refused.
   * Returns at once otherwise.
   * @throws ScopeClosedError if the scope closes first.
   */
  async awaitRenewal (scope: Scope): Promise<void> {
    const { clock } = this._options
    const mayBeRenewed = !this._isSuperseded && !this.isHeld() && clock.nowMs() < this._endsBySteadyClockMs
    if (!mayBeRenewed) return
    this._changed.notify()
    await this._renewalEnded.wait(scope, { clock, deadlineMs: clock.nowMs() + RENEW_TIMEOUT_MS })
  }

  /** Ends the lease permanently, for example at a planned stop. */
  release (): void {
    this._isSuperseded = true
    this._endsAtMs = Number.NEGATIVE_INFINITY
  }

  /** Applies changes that the leader pushes. */
  onChanges (notification: ChangesNotification): void {
    if (notification.clusterId !== this._clusterId) return
    this._options.configuration.applyChanges(notification.changes)
    this._reportRevision()
    this._hasUnconfirmedChanges = true
    this._changed.notify()
  }

  /** Renews until the scope closes. */
  async run (scope: Scope): Promise<void> {
    const { clock } = this._options
    for (;;) {
      const result = this._isSuperseded ? RenewResult.Failed : await this._renew(scope)
      this._renewalEnded.notify()
      this._countLoss()
      if (result === RenewResult.Unregistered) await this._register(scope)
      const pauseMs = result === RenewResult.Renewed ? RENEW_INTERVAL_MS : RETRY_MS
      // A pushed change is confirmed at once, for callers that wait until it is in force.
      if (!this._hasUnconfirmedChanges) await this._changed.wait(scope, { clock, deadlineMs: clock.nowMs() + pauseMs })
      this._hasUnconfirmedChanges = false
    }
  }

  private async _register (scope: Scope): Promise<void> {
    const { clock, host } = this._options
    await this._options.register(host, new Progress(clock, scope, clock.nowMs() + RENEW_TIMEOUT_MS))
    this._hasUnconfirmedChanges = true
  }

  private async _renew (scope: Scope): Promise<RenewResult> {
    const { clock, link, host, configuration, operatorAddress } = this._options
    const { hostId, incarnation } = host
    const sentAtMs = clock.nowMs()
    const sentAt = { sentAtMs, leaseMs: clock.leaseNowMs() }
    const request = { hostId, incarnation, clusterId: this._clusterId, revision: configuration.revision, operatorAddress }
    const outcome = await link.call(renewMethod, request, new Progress(clock, scope, sentAtMs + RENEW_TIMEOUT_MS))
    if (outcome.kind === 'replied') return this._onReply(outcome.body, sentAt)
    link.dropLeader(outcome.reason)
    return RenewResult.Failed
  }

  private _onReply (reply: RenewReply, sentAt: SentAt): RenewResult {
    const { configuration, link } = this._options
    switch (reply.kind) {
      case 'renewed':
        configuration.applyChanges(reply.changes)
        return this._acceptLease(reply, sentAt)
      case 'listing':
        configuration.applyListing(reply.listing)
        return this._acceptLease(reply, sentAt)
      case 'unregistered':
        return RenewResult.Unregistered
      case 'superseded':
        this.release()
        return RenewResult.Failed
      case 'notLeader':
        link.dropLeader('not the leader', reply.leaderAddress)
        return RenewResult.Failed
      case 'foreign':
        // The configuration of another cluster would be older: stay without a lease until the right cluster answers.
        link.dropLeader('the host belongs to another cluster, or its cluster has lost committed changes')
        return RenewResult.Failed
      case 'unavailable':
        return RenewResult.Failed
    }
  }

  private _acceptLease (reply: { clusterId: string, leaseMs: number }, sentAt: SentAt): RenewResult {
    this._clusterId ??= reply.clusterId
    if (!this._isSuperseded) {
      this._endsAtMs = Math.max(this._endsAtMs, sentAt.leaseMs + reply.leaseMs)
      this._endsBySteadyClockMs = Math.max(this._endsBySteadyClockMs, sentAt.sentAtMs + reply.leaseMs)
    }
    this._hasLease = true
    this._options.metrics.count(MetricName.LeaseRenewed)
    this._reportRevision()
    return RenewResult.Renewed
  }

  private _countLoss (): void {
    if (!this._hasLease || this.isHeld()) return
    this._hasLease = false
    this._options.metrics.count(MetricName.LeaseLost)
  }

  private _reportRevision (): void {
    this._options.metrics.gauge(MetricName.ConfigurationRevision, this._options.configuration.revision)
  }
}

/** The command that adds a host to the registry. */
export function registerCommand (host: EntryHost) {
  return { kind: HostCommandKind.Register, host } as const
}
