/**
 * A leader's view of one other replica during its term.
 */
import { Signal } from '../../utils/signal.js'
import type { Member } from './members.js'

/** Send time of a request, on this host's two clocks. */
export interface SentAt {
  sentAtMs: number
  /** On the clock that includes suspensions: an answer that was delayed by a suspension of the machine does not prove that the lease is still valid. */
  leaseMs: number
}

export class FollowerProgress {
  readonly member: Member
  /** Notified when there may be entries or a heartbeat to send. */
  readonly wanted = new Signal()
  /** Index of the next entry to send. */
  nextIndex: number
  /** Index up to which the follower has synced the log. */
  matchIndex = 0
  /** Highest round that the replica has answered as a follower in this term. */
  ackedRound = 0
  /** When the latest answered request was sent, on this host's steady clock. */
  ackedSentAtMs: number
  /** The same on the clock that includes suspensions, for the leader's lease; -Infinity before the first answer. */
  ackedLeaseMs = Number.NEGATIVE_INFINITY
  /** When this leader started to call the replica. */
  readonly contactedSinceMs: number
  /** Round of the latest heartbeat sent. */
  lastHeartbeatRound = 0
  /** Highest commit index that a message to the replica carried; 0 after a message was lost. */
  sentCommitIndex = 0

  /** @param startedAtMs when the leadership started */
  constructor (member: Member, nextIndex: number, startedAtMs: number, nowMs: number) {
    this.member = member
    this.nextIndex = nextIndex
    this.ackedSentAtMs = startedAtMs
    this.contactedSinceMs = nowMs
  }

  acknowledge (round: number, { sentAtMs, leaseMs }: SentAt): void {
    this.ackedRound = Math.max(this.ackedRound, round)
    this.ackedSentAtMs = Math.max(this.ackedSentAtMs, sentAtMs)
    this.ackedLeaseMs = Math.max(this.ackedLeaseMs, leaseMs)
  }

  recordMatch (index: number): void {
    this.matchIndex = Math.max(this.matchIndex, index)
    this.nextIndex = this.matchIndex + 1
  }
}
