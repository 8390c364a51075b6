/**
 * Leases of entry hosts on the slots they run. A host renews all of its slots
 * with one command; when its lease expires, its attempts are replaced.
 */
import { SampleDropReason } from '../../../protocol/rolloutCommands.js'
import { allStates, type JobState, type SlotState } from './jobState.js'

/** A host that has not renewed its lease for this long loses its leased slots. */
export const SLOT_LEASE_MS = 15_000

export interface HostLease {
  incarnation: number
  /** Sequence number of the last applied command; commands with lower numbers are ignored. */
  sequence: number
  /** In log time, the timestamps of log entries. */
  leaseEndsAtMs: number
}

export type HostLeases = Record<string, HostLease>

/** Releases the slots of every host whose lease has expired. */
export function expireHosts (hosts: HostLeases, jobs: Iterable<JobState>, atMs: number): void {
  const expired = Object.keys(hosts).filter(hostId => (hosts[hostId]?.leaseEndsAtMs ?? 0) <= atMs)
  if (expired.length === 0) return
  for (const hostId of expired) delete hosts[hostId]
  const lost = new Set(expired)
  for (const job of jobs) {
    releaseWhere(job, attempt => lost.has(attempt.hostId), SampleDropReason.HostLost)
  }
}

interface Renewal {
  hostId: string
  hostIncarnation: number
  sequence: number
}

/** @returns false for a command of an earlier incarnation, or a command that a later command has overtaken */
export function renewHost (hosts: HostLeases, { hostId, hostIncarnation, sequence }: Renewal, atMs: number): boolean {
  const known = hosts[hostId]
  const isSuperseded = known && (known.incarnation > hostIncarnation || (known.incarnation === hostIncarnation && known.sequence >= sequence))
  if (isSuperseded) return false
  hosts[hostId] = { incarnation: hostIncarnation, sequence, leaseEndsAtMs: atMs + SLOT_LEASE_MS }
  return true
}

/** Removes attempts; a slot without another running attempt waits for a host again. */
export function releaseWhere (job: JobState, isLost: (attempt: SlotState['attempts'][number]) => boolean, reason: SampleDropReason): void {
  for (const state of allStates(job)) {
    if (state.attempts.length === 0) continue
    const kept = state.attempts.filter(attempt => !isLost(attempt))
    if (kept.length === state.attempts.length) continue
    state.attempts = kept
    if (reason === SampleDropReason.HostLost) job.counts.hostLost++
    if (kept.length === 0) job.counts.rerun++
  }
}
