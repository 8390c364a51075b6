/**
 * Timings of the replicated log. Failover takes an election timeout, two
 * rounds of votes and a sync. The leader's lease must expire before any
 * follower may vote for another candidate, assuming that the rates of the
 * hosts' clocks differ by less than a quarter.
 */
export interface LogTimings {
  heartbeatMs: number
  /** A follower that received a message from its leader within this time votes for nobody else. */
  electionMinMs: number
  electionMaxMs: number
  /** Pause after a failed pre-vote. Can be short, because a pre-vote changes nothing at the other replicas. */
  preVoteRetryMinMs: number
  preVoteRetryMaxMs: number
  /** Length of the leader's lease, counted from when a heartbeat was sent that a quorum confirmed. */
  leaderLeaseMs: number
  /** Timeout of a call that carries entries, including their sync at the follower. */
  callTimeoutMs: number
  retryPauseMs: number
  /**
   * Minimum interval between two append messages to one follower; entries
   * proposed in between are sent together. By calculation, a leader with nine
   * followers and 350 entries per second sends 900 messages per second instead
   * of about 2,700. In return, a proposal waits half the interval longer on
   * average.
   */
  appendIntervalMs: number
  /** Followers are notified of a commit within this time, even if no further entries follow. */
  commitNoticeMs: number
}

/**
 * For hosts in one region: a call takes a few milliseconds, a sync one or two,
 * and a busy host stalls for a few hundred. Election timeouts of 400 to 700 ms
 * were tried and rejected (docs/design/log.md).
 */
export const defaultTimings: LogTimings = {
  heartbeatMs: 150,
  electionMinMs: 600,
  electionMaxMs: 1_000,
  preVoteRetryMinMs: 80,
  preVoteRetryMaxMs: 240,
  leaderLeaseMs: 450,
  callTimeoutMs: 1_000,
  retryPauseMs: 50,
  appendIntervalMs: 10,
  commitNoticeMs: 20
}
