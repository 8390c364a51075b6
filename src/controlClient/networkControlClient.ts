/**
 * The control client of an entry host: follows the leader, holds the
 * configuration lease, and forwards commands and queries. A command whose
 * answer was lost is resent until its deadline, because every command is
 * idempotent.
 */
import type { Scope } from '../utils/scope.js'
import { HostCommandKind, type EntryHost } from '../protocol/hostCommands.js'
import type { Command, CommandResult } from '../protocol/commands.js'
import { queryResultSchemas, type Query, type QueryResult } from '../protocol/queries.js'
import type { Transport } from '../transport/connection.js'
import { changesMethod, queryMethod, submitMethod } from '../transport/controlMethods.js'
import { RpcHandlers } from '../transport/rpcPeer.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Metrics } from '../utils/metrics.js'
import type { Progress } from '../utils/progress.js'
import type { RandomSource } from '../utils/randomSource.js'
import type { Supervisor } from '../utils/supervisor.js'
import { ConfigurationLease, registerCommand } from './configurationLease.js'
import type { ControlClient, QueryOutcome, SubmitOutcome } from './controlClient.js'
import { FollowedConfiguration } from './followedConfiguration.js'
import { LeaderLink } from './leaderLink.js'

const RETRY_PAUSE_MS = 50
/** Limit for one attempt at a command; the deadline of the command bounds all attempts together. */
const ATTEMPT_TIMEOUT_MS = 2_000

export interface NetworkControlClientOptions {
  clock: Clock
  random: RandomSource
  metrics: Metrics
  transport: Transport
  supervisor: Supervisor
  onFatal: (error: unknown) => void
  /** Control hosts, `ip:port`. */
  controlAddresses: string[]
  /** The record with which this host registers itself. */
  host: EntryHost
  operatorAddress?: string
}

export class NetworkControlClient implements ControlClient {
  readonly configuration = new FollowedConfiguration()
  private readonly _options: NetworkControlClientOptions
  private readonly _link: LeaderLink
  private readonly _lease: ConfigurationLease

  constructor (options: NetworkControlClientOptions) {
    const { clock, random, transport, metrics, host, operatorAddress, onFatal } = options
    this._options = options
    const handlers = new RpcHandlers()
    this._link = new LeaderLink({ clock, random, transport, handlers, onFatal, addresses: options.controlAddresses })
    this._lease = new ConfigurationLease({
      clock,
      metrics,
      link: this._link,
      configuration: this.configuration,
      host,
      operatorAddress,
      register: async (own, progress) => (await this.submit(registerCommand(own), progress)).kind === 'committed'
    })
    handlers.on(changesMethod, notification => this._lease.onChanges(notification))
  }

  start (): void {
    this._options.supervisor.spawn('leader link', scope => this._link.run(scope))
    this._options.supervisor.spawn('configuration lease', scope => this._lease.run(scope))
  }

  holdsLease (): boolean {
    return this._lease.isHeld()
  }

  async awaitLeaseRenewal (scope: Scope): Promise<void> {
    await this._lease.awaitRenewal(scope)
  }

  /** Removes this host from the configuration at a planned stop. */
  async leave (progress: Progress): Promise<void> {
    this._lease.release()
    const { hostId, incarnation } = this._options.host
    await this.submit({ kind: HostCommandKind.Remove, hostId, incarnation }, progress)
  }

  async submit<C extends Command> (command: C, progress: Progress): Promise<SubmitOutcome<CommandResult<C>>> {
    let mayBeInLog = false
    let reason = 'deadline passed'
    while (!progress.isPastDeadline()) {
      const outcome = await this._trySubmit(command, progress)
      if (outcome.kind === 'committed') return outcome
      if (outcome.kind === 'unknown') mayBeInLog = true
      reason = outcome.reason
      progress.log(`control: ${reason}`)
      await this._pause(progress)
    }
    return { kind: mayBeInLog ? 'unknown' : 'notCommitted', reason }
  }

  async query<Q extends Query> (query: Q, progress: Progress): Promise<QueryOutcome<QueryResult<Q>>> {
    let reason = 'deadline passed'
    while (!progress.isPastDeadline()) {
      const outcome = await this._tryQuery(query, progress)
      if (outcome.kind === 'answered') return outcome
      reason = outcome.reason
      progress.log(`control: ${reason}`)
      await this._pause(progress)
    }
    return { kind: 'unavailable', reason }
  }

  private async _trySubmit<C extends Command> (command: C, progress: Progress): Promise<SubmitOutcome<CommandResult<C>>> {
    const outcome = await this._link.call(submitMethod, { command }, this._attemptProgress(progress))
    if (outcome.kind === 'unserved') return { kind: 'notCommitted', reason: outcome.reason }
    if (outcome.kind === 'lost') return { kind: 'unknown', reason: outcome.reason }
    const reply = outcome.body
    switch (reply.kind) {
      case 'committed':
        return { kind: 'committed', result: reply.result as CommandResult<C> }
      case 'notLeader':
        this._link.dropLeader('not the leader', reply.leaderAddress)
        return { kind: 'notCommitted', reason: 'the leader has moved' }
      case 'notCommitted':
      case 'unknown':
        return reply
    }
  }

  private async _tryQuery<Q extends Query> (query: Q, progress: Progress): Promise<QueryOutcome<QueryResult<Q>>> {
    const outcome = await this._link.call(queryMethod, { query }, this._attemptProgress(progress))
    if (outcome.kind !== 'replied') return { kind: 'unavailable', reason: outcome.reason }
    const reply = outcome.body
    switch (reply.kind) {
      case 'answered': {
        const parsed = queryResultSchemas[query.kind].safeParse(reply.result)
        if (parsed.success) return { kind: 'answered', result: parsed.data as QueryResult<Q> }
        return { kind: 'unavailable', reason: `malformed answer: ${parsed.error.message}` }
      }
      case 'notLeader':
        this._link.dropLeader('not the leader', reply.leaderAddress)
        return { kind: 'unavailable', reason: 'the leader has moved' }
      case 'unavailable':
        return reply
    }
  }

  private _attemptProgress (progress: Progress): Progress {
    return progress.withDeadline(this._options.clock.nowMs() + ATTEMPT_TIMEOUT_MS)
  }

  private async _pause (progress: Progress): Promise<void> {
    const { clock } = this._options
    await sleepUntil(clock, progress.scope, Math.min(progress.deadlineMs, clock.nowMs() + RETRY_PAUSE_MS))
  }
}
