/**
 * A control host as its clients see it: the leader serves commands, queries and
 * leases; other hosts answer with the leader's address.
 */
import type { AnyCommandResult, Command } from '../protocol/commands.js'
import type { QueryReply, ReadIndexReply, RenewReply, RenewRequest, SubmitReply } from '../protocol/controlMessages.js'
import type { Query } from '../protocol/queries.js'
import type { Clock } from '../utils/clock.js'
import { invariant } from '../utils/errors.js'
import type { Progress } from '../utils/progress.js'
import { checkCommand, type ControlState } from './controlState.js'
import { CONFIGURATION_LEASE_MS, LeaseTable } from './hosts/leaseTable.js'
import type { Member } from '../replication/log/members.js'
import { ReadMode, type ReadOutcome, type Replica } from '../replication/log/replica.js'

export class ControlNode {
  readonly replica: Replica
  readonly state: ControlState
  readonly leases: LeaseTable

  constructor (replica: Replica, state: ControlState, clock: Clock) {
    this.replica = replica
    this.state = state
    this.leases = new LeaseTable(clock)
  }

  get leader (): Member | undefined {
    return this.replica.core.leader
  }

  get isLeader (): boolean {
    return this.replica.leadership !== undefined
  }

  async submit (command: Command, progress: Progress): Promise<SubmitReply> {
    if (!this.isLeader) return this._notLeader()
    const checked = checkCommand(command)
    if (checked.kind === 'answered') return { kind: 'committed', result: checked.result }
    const outcome = await this.replica.propose(checked.command, progress)
    if (outcome.kind === 'committed') return { kind: 'committed', result: outcome.result as AnyCommandResult }
    return outcome
  }

  async query (query: Query, progress: Progress): Promise<QueryReply> {
    const read = await this.read(ReadMode.Quorum, progress)
    if (read.kind === 'notLeader') return this._notLeader()
    if (read.kind === 'unavailable') return read
    return { kind: 'answered', result: this.state.answer(query) }
  }

  /** Renews a host's lease; the reply contains the committed configuration changes that the host lacks. */
  async renew (request: RenewRequest, progress: Progress): Promise<RenewReply> {
    const read = await this.read(ReadMode.Lease, progress)
    if (read.kind === 'notLeader') return this._notLeader()
    if (read.kind === 'unavailable') return read
    const clusterId = this.replica.core.clusterId
    invariant(clusterId !== null, 'a leader belongs to a cluster')
    const isForeign = (request.clusterId ?? clusterId) !== clusterId || request.revision > this.state.revision
    if (isForeign) return { kind: 'foreign' }
    const registered = this.state.hosts.get(request.hostId)
    if (!registered || registered.incarnation < request.incarnation) return { kind: 'unregistered' }
    if (registered.incarnation > request.incarnation) return { kind: 'superseded' }
    this.leases.enterTerm(this.replica.core.term)
    this.leases.recordRenewal(request.hostId, request.incarnation, request.revision, request.operatorAddress)
    const since = this.state.history.since(request.revision)
    const granted = { clusterId, leaseMs: CONFIGURATION_LEASE_MS }
    if (since.kind === 'changes') return { kind: 'renewed', ...granted, changes: since.changes }
    return { kind: 'listing', ...granted, listing: this.state.listing() }
  }

  async read (mode: ReadMode, progress: Progress): Promise<ReadOutcome> {
    return await this.replica.read(mode, progress)
  }

  /** The log index that a host has to apply before it answers a read from its own state. */
  async readIndex (progress: Progress): Promise<ReadIndexReply> {
    const read = await this.read(ReadMode.Quorum, progress)
    switch (read.kind) {
      case 'confirmed':
        return { kind: 'confirmed', index: this.replica.appliedIndex }
      case 'notLeader':
        return this._notLeader()
      case 'unavailable':
        return read
    }
  }

  private _notLeader (): { kind: 'notLeader', leaderAddress: string | undefined } {
    return { kind: 'notLeader', leaderAddress: this.leader?.peerAddress }
  }
}
