/**
 * The times of the replicated log. Failover takes an election timeout, two
 * rounds of votes and a sync; the leader's lease must end before any follower
 * may vote for another, by clocks that differ in rate by less than a quarter.
 */
export interface LogTimings {
  heartbeatMs: number
  /** A follower that heard from its leader within this time votes for nobody else. */
  electionMinMs: number
  electionMaxMs: number
  /** Before a replica whom too few would vote for asks again; asking changes nothing at the others. */
  preVoteRetryMinMs: number
  preVoteRetryMaxMs: number
  /** The leader's lease, from the sending of a heartbeat that a quorum confirmed. */
  leaderLeaseMs: number
  /** A call that carries entries, with their sync at the other side. */
  callTimeoutMs: number
  retryPauseMs: number
  /**
   * Least time between two messages of entries to one follower: what is
   * proposed meanwhile goes together. A leader with nine followers and 350
   * entries a second sends 900 messages a second instead of some 2,700 (worked
   * out, not measured); a proposal waits half of it more on average.
   */
  appendIntervalMs: number
  /** After a commit, followers are told within this time also when no entries follow. */
  commitNoticeMs: number
}

/**
 * Hosts of one region: a call takes a few milliseconds, a sync one or two, and
 * a busy host stalls for a few hundred. 400 to 700 ms were tried and taken
 * back (docs/design/log.md).
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
