/**
 * Rendezvous hashing: every host computes the same ranking of hosts for a key,
 * and the loss of a host affects only the keys assigned to that host.
 */
import { createHash } from 'node:crypto'

/** Hosts in order of preference for a key. */
export function rankHosts (key: string, hostIds: string[]): string[] {
  const weighted = hostIds.map(hostId => ({ hostId, weight: weightOf(key, hostId) }))
  weighted.sort((a, b) => b.weight - a.weight || (a.hostId < b.hostId ? -1 : 1))
  return weighted.map(({ hostId }) => hostId)
}

function weightOf (key: string, hostId: string): number {
  return createHash('sha1').update(`${key}|${hostId}`).digest().readUIntBE(0, 6)
}
