/**
 * Rendezvous hashing: every host ranks all hosts for a key in the same way,
 * and the loss of one host moves only what it held.
 */
import { createHash } from 'node:crypto'

/** Hosts in order of preference for a key. */
export function rankHosts (key: string, hostIds: string[]): string[] {
  const weighed = hostIds.map(hostId => ({ hostId, weight: weigh(key, hostId) }))
  weighed.sort((a, b) => b.weight - a.weight || (a.hostId < b.hostId ? -1 : 1))
  return weighed.map(({ hostId }) => hostId)
}

function weigh (key: string, hostId: string): number {
  return createHash('sha1').update(`${key}|${hostId}`).digest().readUIntBE(0, 6)
}
