/**
 * Client of the batch store for entry hosts. Changes go to the leader, which is
 * found in the fleet view and in the replies of replicas that do not lead. Reads
 * go to a nearby replica first.
 */
import type { FleetView } from '../fleet/fleetView.js'
import { HostRole } from '../protocol/fleet.js'
import type { BatchSubmission } from '../protocol/batches.js'
import { PeerLinks } from '../replication/log/peerLinks.js'
import {
  endBatchMethod, readItemMethod, readResultsMethod, submitBatchMethod, submitPartMethod,
  type EndBatchReply, type ReadItemReply, type ReadResultsReply, type SubmitBatchReply, type SubmitPartReply, type SubmitPartRequest
} from '../transport/batchMethods.js'
import type { Transport } from '../transport/connection.js'
import type { CallOutcome, RpcMethod } from '../transport/rpcPeer.js'
import { sleepUntil } from '../utils/clock.js'
import type { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'

/** Pause before the next attempt to reach the leader. */
const RETRY_PAUSE_MS = 50
/** A leader that has not answered within this time may be partitioned; another replica is tried. */
const ATTEMPT_TIMEOUT_MS = 700
/** A read takes two short network hops and no disk access; a replica that needs longer is down, partitioned or lagging. */
const READ_TIMEOUT_MS = 300
/** Longest time that one call waits for results at a replica. */
const MAX_POLL_MS = 300
/** How long a replica that did not answer a read is not used: the time that control hosts need to detect an unreachable replica. */
const SUSPECT_DURATION_MS = 2_000

/** Identifies a batch in a request. */
export interface BatchReference {
  batchId: string
  /** The client account that sends the request; undefined for none. */
  account?: string | undefined
}

/** Reply of a replica that does not lead; handled in this client and never returned to its callers. */
export interface NotLeader {
  kind: 'notLeader'
  leaderAddress?: string | undefined
}

interface Unavailable {
  kind: 'unavailable'
  reason: string
}

type LeaderOutcome<Reply> =
  | { kind: 'answered', reply: Exclude<Reply, NotLeader> }
  /** No call took effect. */
  | { kind: 'refused', reason: string, isFinal?: boolean }
  /** A call was lost or its result is unknown; the call may still take effect. */
  | { kind: 'lost', reason: string }

export class BatchClient {
  private readonly _view: FleetView
  private readonly _dataCentre: string
  private readonly _links: PeerLinks
  private _leaderHint: string | undefined
  private _nextReplica = 0
  private _nextReader = 0
  /** Time from which each replica that did not answer a read is used again, by address. */
  private readonly _suspectUntilMs = new Map<string, number>()

  constructor (view: FleetView, dataCentre: string, transport: Transport, scope: Scope, onFatal: (error: unknown) => void) {
    this._view = view
    this._dataCentre = dataCentre
    this._links = new PeerLinks(transport, scope, onFatal)
  }

  /** Whether the store takes submissions in parts: all its hosts have to. */
  takesParts (): boolean {
    const replicas = this._view.hosts(HostRole.Store).flatMap(({ store }) => store ?? [])
    return replicas.every(({ takesParts }) => takesParts === true)
  }

  /**
   * Submitting is idempotent, so lost calls are repeated.
   * @param stagedItemsCount number of items that `submitPart` has sent before, which precede those of the submission
   */
  async submit (submission: BatchSubmission, progress: Progress, stagedItemsCount?: number): Promise<SubmitBatchReply> {
    const request = { submission, ...(stagedItemsCount === undefined ? {} : { stagedItemsCount }) }
    const outcome = await this._callLeader<typeof request, SubmitBatchReply>(submitBatchMethod, request, progress, ATTEMPT_TIMEOUT_MS)
    switch (outcome.kind) {
      case 'answered':
        return outcome.reply
      case 'refused':
        return { kind: 'refused', reason: outcome.reason }
      case 'lost':
        return { kind: 'unknown', reason: outcome.reason }
    }
  }

  /** A part may be sent again: one that the store holds already changes nothing. */
  async submitPart (part: SubmitPartRequest, progress: Progress): Promise<SubmitPartReply> {
    const outcome = await this._callLeader<SubmitPartRequest, SubmitPartReply>(submitPartMethod, part, progress, ATTEMPT_TIMEOUT_MS)
    switch (outcome.kind) {
      case 'answered':
        return outcome.reply
      case 'refused':
        return outcome
      case 'lost':
        return { kind: 'unknown', reason: outcome.reason }
    }
  }

  /** Waits for results in short polls, so that after a replica crashes, another replica is soon polled instead. */
  async readResults ({ batchId, account }: BatchReference, fromPosition: number, waitMs: number, progress: Progress): Promise<Exclude<ReadResultsReply, NotLeader>> {
    const { clock } = progress
    const waitUntilMs = clock.nowMs() + waitMs
    for (;;) {
      const pollMs = Math.min(MAX_POLL_MS, Math.max(0, waitUntilMs - clock.nowMs()))
      const request = { batchId, account, fromPosition, waitMs: pollMs }
      const reply = await this._read<BatchReference & { fromPosition: number, waitMs: number }, ReadResultsReply>(readResultsMethod, request, progress, pollMs + READ_TIMEOUT_MS)
      const mayWait = reply.kind === 'results' && reply.results.length === 0 && !reply.isEnded
      if (!mayWait || clock.nowMs() >= waitUntilMs) return reply
    }
  }

  async readItem ({ batchId, account }: BatchReference, itemId: string, progress: Progress): Promise<Exclude<ReadItemReply, NotLeader>> {
    return await this._read<BatchReference & { itemId: string }, ReadItemReply>(readItemMethod, { batchId, account, itemId }, progress, READ_TIMEOUT_MS)
  }

  async end (reference: BatchReference, progress: Progress): Promise<Exclude<EndBatchReply, NotLeader>> {
    const outcome = await this._callLeader<BatchReference, EndBatchReply>(endBatchMethod, reference, progress, ATTEMPT_TIMEOUT_MS)
    return outcome.kind === 'answered' ? outcome.reply : unavailableFor(outcome)
  }

  private async _read<Request, Reply extends { kind: string }> (
    method: RpcMethod<Request, Reply>, body: Request, progress: Progress, attemptTimeoutMs: number
  ): Promise<Exclude<Reply, NotLeader> | Unavailable> {
    const nearby = await this._callNearby<Request, Reply>(method, body, progress, attemptTimeoutMs)
    if (nearby) return nearby
    const outcome = await this._callLeader<Request, Reply>(method, body, progress, attemptTimeoutMs)
    if (outcome.kind === 'answered') return outcome.reply
    return unavailableFor(outcome)
  }

  /** Reply of a nearby replica; undefined when no replica can answer, so that the leader has to be called. */
  private async _callNearby<Request, Reply extends { kind: string }> (
    method: RpcMethod<Request, Reply>, body: Request, progress: Progress, attemptTimeoutMs: number
  ): Promise<Exclude<Reply, NotLeader> | undefined> {
    const { clock } = progress
    const address = this._readerAddress(clock.nowMs())
    if (address === undefined) return undefined
    const outcome = await this._links.to({ peerAddress: address }).call(method, body, progress.withDeadline(clock.nowMs() + attemptTimeoutMs))
    if (outcome.kind !== 'replied') {
      this._suspectUntilMs.set(address, clock.nowMs() + SUSPECT_DURATION_MS)
      return undefined
    }
    if (isNotLeader(outcome.body) || outcome.body.kind === 'unavailable') return undefined
    return outcome.body as Exclude<Reply, NotLeader>
  }

  /** Calls the leader, and repeats the call at other replicas, until a reply is final or the time is over. */
  private async _callLeader<Request, Reply extends { kind: string }> (
    method: RpcMethod<Request, Reply>, body: Request, progress: Progress, attemptTimeoutMs: number
  ): Promise<LeaderOutcome<Reply>> {
    let last: LeaderOutcome<Reply> = { kind: 'refused', reason: 'no leader of the batch store is known' }
    while (!progress.isPastDeadline()) {
      const address = this._leaderAddress()
      const callOutcome = address === undefined
        ? undefined
        : await this._callAddress(address, method, body, progress.withDeadline(progress.clock.nowMs() + attemptTimeoutMs))
      const outcome = callOutcome && interpretOutcome(callOutcome)
      if (outcome?.kind === 'answered') return outcome
      // After a lost call, a later refusal does not prove that nothing took effect.
      if (outcome && last.kind !== 'lost') last = outcome
      if (outcome?.kind === 'refused' && outcome.isFinal === true) return last
      await sleepUntil(progress.clock, progress.scope, Math.min(progress.deadlineMs, progress.clock.nowMs() + RETRY_PAUSE_MS))
    }
    return last
  }

  private async _callAddress<Request, Reply extends { kind: string }> (
    address: string, method: RpcMethod<Request, Reply>, body: Request, progress: Progress
  ): Promise<CallOutcome<Reply>> {
    const outcome = await this._links.to({ peerAddress: address }).call(method, body, progress)
    const isLed = outcome.kind === 'replied' && !isNotLeader(outcome.body)
    this._leaderHint = outcome.kind === 'replied' && isNotLeader(outcome.body) ? outcome.body.leaderAddress : isLed ? address : undefined
    return outcome
  }

  /**
   * Address of a member of the store, preferably in this data centre. Members are used
   * in turn, so that reads do not all go to one host.
   */
  private _readerAddress (nowMs: number): string | undefined {
    const memberIds = this._view.storeLeader()?.store?.memberIds
    const members = this._view.hosts(HostRole.Store).flatMap(({ dataCentre, store }) => {
      const isMember = memberIds ? memberIds.includes(store?.replicaId ?? '') : store?.clusterId !== null
      return store && isMember ? [{ dataCentre, address: store.peerAddress }] : []
    })
    const available = members.filter(({ address }) => nowMs >= (this._suspectUntilMs.get(address) ?? Number.NEGATIVE_INFINITY))
    const nearby = available.filter(({ dataCentre }) => dataCentre === this._dataCentre)
    const readers = nearby.length > 0 ? nearby : available
    return readers[this._nextReader++ % Math.max(1, readers.length)]?.address
  }

  /** The replica that last replied as leader, or the replica that the last reply named as leader; otherwise alternates between the leader that control hosts report and each replica in turn. */
  private _leaderAddress (): string | undefined {
    if (this._leaderHint !== undefined) return this._leaderHint
    const knownLeader = this._view.storeLeader()?.store?.peerAddress
    const replicas = this._view.hosts(HostRole.Store).flatMap(({ store }) => store?.peerAddress ?? [])
    const nextReplica = replicas[this._nextReplica++ % Math.max(1, replicas.length)]
    return this._nextReplica % 2 === 1 ? knownLeader ?? nextReplica : nextReplica
  }
}

function unavailableFor ({ reason }: { reason: string }): Unavailable {
  return { kind: 'unavailable', reason }
}

/** Undefined when the call had no effect at all: the host does not lead or was not reached. */
function interpretOutcome<Reply extends { kind: string }> (outcome: CallOutcome<Reply>): LeaderOutcome<Reply> | undefined {
  if (outcome.kind === 'lost') return outcome
  if (outcome.kind === 'unserved' || isNotLeader(outcome.body)) return undefined
  const reply = outcome.body as Exclude<Reply, NotLeader>
  const reason = 'reason' in reply ? String(reply.reason) : reply.kind
  switch (reply.kind) {
    case 'refused':
      return { kind: 'refused', reason, isFinal: 'isFinal' in reply && reply.isFinal === true }
    case 'unavailable':
      return { kind: 'refused', reason }
    case 'unknown':
      return { kind: 'lost', reason }
    default:
      return { kind: 'answered', reply }
  }
}

function isNotLeader (reply: { kind: string }): reply is NotLeader {
  return reply.kind === 'notLeader'
}
