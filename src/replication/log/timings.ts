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
  /** After a commit, followers are told within this time also when no entries follow. */
  commitNoticeMs: number
}

/** Hosts of one region: a call takes a few milliseconds, a sync one or two; a stall of the processor up to 200 ms was seen. */
export const defaultTimings: LogTimings = {
  heartbeatMs: 100,
  electionMinMs: 400,
  electionMaxMs: 700,
  preVoteRetryMinMs: 80,
  preVoteRetryMaxMs: 240,
  leaderLeaseMs: 300,
  callTimeoutMs: 1_000,
  retryPauseMs: 50,
  commitNoticeMs: 20
}
