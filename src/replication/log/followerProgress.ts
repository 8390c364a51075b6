/**
 * What a leader knows of one other replica during its term.
 */
import { Signal } from '../../utils/signal.js'
import type { Member } from './members.js'

export class FollowerProgress {
  readonly member: Member
  /** Notified when there may be something to send. */
  readonly wanted = new Signal()
  /** The next entry to send. */
  nextIndex: number
  /** The follower has synced the log up to here. */
  matchIndex = 0
  /** Highest number of a request that it has answered as a follower of this term. */
  ackedRound = 0
  /** When the latest answered request was sent, by this host's clock. */
  ackedSentAtMs: number
  /** Since when it is called by this leader. */
  readonly calledSinceMs: number
  /** Number of the heartbeat sent last. */
  sentRound = 0

  /** @param startedAtMs when the leader's term of office began */
  constructor (member: Member, nextIndex: number, startedAtMs: number, nowMs: number) {
    this.member = member
    this.nextIndex = nextIndex
    this.ackedSentAtMs = startedAtMs
    this.calledSinceMs = nowMs
  }

  acknowledge (round: number, sentAtMs: number): void {
    this.ackedRound = Math.max(this.ackedRound, round)
    this.ackedSentAtMs = Math.max(this.ackedSentAtMs, sentAtMs)
  }

  matched (index: number): void {
    this.matchIndex = Math.max(this.matchIndex, index)
    this.nextIndex = this.matchIndex + 1
  }
}
