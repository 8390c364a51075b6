/**
 * How a replica's proposals and its calls to other replicas fared since the last
 * report: whether commits keep up, and whether replies arrive in time.
 */
export interface ReplicationCounts {
  /** Proposals that were applied. */
  commitsCount: number
  /** Longest time from a proposal to its application. */
  maxCommitMs: number
  /** Proposals that were not applied within the time that their proposer waited. */
  timedOutProposalsCount: number
  /** Calls to other replicas without a timely reply. */
  lostCallsCount: number
  /** Connections to other replicas that were closed after several lost calls. */
  closedLinksCount: number
}

function noCounts (): ReplicationCounts {
  return { commitsCount: 0, maxCommitMs: 0, timedOutProposalsCount: 0, lostCallsCount: 0, closedLinksCount: 0 }
}

export class ReplicationStats {
  private _counts = noCounts()

  recordCommit (tookMs: number): void {
    this._counts.commitsCount++
    this._counts.maxCommitMs = Math.max(this._counts.maxCommitMs, tookMs)
  }

  recordTimedOutProposal (): void {
    this._counts.timedOutProposalsCount++
  }

  recordLostCall (): void {
    this._counts.lostCallsCount++
  }

  recordClosedLink (): void {
    this._counts.closedLinksCount++
  }

  /** Returns the counts and starts over. */
  take (): ReplicationCounts {
    const counts = this._counts
    this._counts = noCounts()
    return counts
  }
}
