/**
 * What a leader knows of one other replica during its term.
 */
import { Signal } from '../../utils/signal.js'
import type { Member } from './members.js'

/** When a request was sent, by this host's two clocks. */
export interface SentAt {
  sentAtMs: number
  /** By the clock that counts suspensions: an answer that waited for the machine to be back proves nothing of now. */
  leaseMs: number
}

export class FollowerProgress {
  readonly member: Member
  /** Notified when there may be something to send. */
  readonly sendRequested = new Signal()
  /** The next entry to send. */
  nextIndex: number
  /** The follower has synced the log up to here. */
  matchIndex = 0
  /** Highest number of a request that it has answered as a follower of this term. */
  ackedRound = 0
  /** When the latest answered request was sent, by this host's clock. */
  ackedSentAtMs: number
  /** The same for the leader's lease, by the clock that counts suspensions; nothing before its first answer. */
  ackedLeaseMs = Number.NEGATIVE_INFINITY
  /** Since when it is called by this leader. */
  readonly contactedSinceMs: number
  /** Number of the heartbeat sent last. */
  lastHeartbeatRound = 0

  /** @param startedAtMs when the leader's term of office began */
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
