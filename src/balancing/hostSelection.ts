/**
 * Decides which entry hosts an answer to a look-up names. The load it answers:
 * callers choose uniformly among the hosts of their list, so where hosts differ in
 * size, lists that name all of them load the smallest as much as the largest.
 *
 * A host is in a caller's list with a probability in proportion to what it can
 * carry: weighted rendezvous hashing by the caller, so that a renewed list is nearly the same
 * and a change of one host's weight moves that host only. The largest host is in
 * all lists, which makes them as long as they can be in proportion.
 */
import type { FleetHost } from '../protocol/fleet.js'
import type { RandomSource } from '../utils/randomSource.js'
import { hash32, mix32 } from './hash32.js'
import { BACK_OFF_FACTOR, meanUse } from './hostLoadReport.js'

/** Hosts whose capacities differ by less are named alike: chance spreads callers no better. */
const UNEVEN_RATIO = 1.5
/** Callers skip hosts that have failed them, and retry at others; fewer would leave them none. */
export const MIN_LISTED_COUNT = 8
/** If more of the capacity is overloaded, the fleet is short of it, and the rest could not take the callers over. */
const MAX_LEFT_OUT_SHARE = 0.25
/** Hosts in the caller's data centre count this much more while they are idle. */
const NEARNESS_BONUS = 1
/** At this use of the near hosts the preference for them has gone. */
const NEARNESS_GONE_AT = 0.5
/** The time in which each host leaves and rejoins a caller's list: less than one host a renewal. */
const ROTATION_MS = 600_000
/** Growth of the weights until a list is long enough. */
const LENGTHENING_FACTOR = 1.1

export interface LookupCaller {
  /** Stable for one caller over its look-ups. */
  identity: string
  dataCentre: string | undefined
}

export interface HostSelectionInput {
  /** Hosts that accept new work. */
  hosts: readonly FleetHost[]
  caller: LookupCaller
  /** The fleet's time of day, so that all hosts answer alike. */
  wallMs: number
  maxCount: number
  random: RandomSource
}

export function selectHosts ({ hosts, caller, wallMs, maxCount, random }: HostSelectionInput): FleetHost[] {
  const candidates = withoutOverloaded(hosts)
  if (!isUneven(candidates)) return randomSubset(candidates, maxCount, random)
  const probabilities = probabilitiesFor(candidates, caller.dataCentre)
  const turn = wallMs / ROTATION_MS
  const callerHash = hash32(caller.identity)
  const ranked = candidates.map((host, position) => {
    const probability = probabilities[position] ?? 0
    const point = (pointOf(callerHash, host.hostId) + turn) % 1
    return { host, isListed: point < probability, rank: point / probability }
  })
  ranked.sort((left, right) => left.rank - right.rank)
  const listed = ranked.filter(({ isListed }, position) => isListed || position < MIN_LISTED_COUNT)
  return listed.slice(0, maxCount).map(({ host }) => host)
}

/** Overloaded hosts are left out, unless so many are that the others could not take over. */
function withoutOverloaded (hosts: readonly FleetHost[]): readonly FleetHost[] {
  const fit = hosts.filter(({ load }) => load?.isOverloaded !== true)
  if (fit.length === hosts.length) return hosts
  return totalCapacity(fit) >= (1 - MAX_LEFT_OUT_SHARE) * totalCapacity(hosts) ? fit : hosts
}

function totalCapacity (hosts: readonly FleetHost[]): number {
  return hosts.reduce((sum, { capacity = 0 }) => sum + capacity, 0)
}

function isUneven (hosts: readonly FleetHost[]): boolean {
  if (hosts.length <= MIN_LISTED_COUNT) return false
  const capacities = hosts.map(({ capacity }) => capacity)
  if (capacities.includes(undefined)) return false
  const known = capacities.map(capacity => capacity ?? 0)
  return Math.max(...known) >= UNEVEN_RATIO * Math.min(...known)
}

/** All hosts, or a random selection if there are more than callers read. */
function randomSubset (hosts: readonly FleetHost[], maxCount: number, random: RandomSource): FleetHost[] {
  const chosen = [...hosts]
  while (chosen.length > maxCount) chosen.splice(random.int(0, chosen.length - 1), 1)
  return chosen
}

/** Capacities of hosts as they count for callers of a data centre. */
function capacitiesFor (hosts: readonly FleetHost[], dataCentre: string | undefined): number[] {
  const nearUse = meanUse(hosts.filter(host => host.dataCentre === dataCentre)) ?? 1
  const room = Math.max(0, 1 - nearUse / NEARNESS_GONE_AT)
  return hosts.map(host => (host.capacity ?? 0) * (host.dataCentre === dataCentre ? 1 + NEARNESS_BONUS * room : 1))
}

/**
 * The largest capacity has probability 1, whether or not its host backs off: a host that does moves no other.
 * Lists of very uneven hosts are lengthened until they hold enough hosts.
 */
function probabilitiesFor (hosts: readonly FleetHost[], dataCentre: string | undefined): number[] {
  const capacities = capacitiesFor(hosts, dataCentre)
  const weights = capacities.map((capacity, position) => capacity * BACK_OFF_FACTOR ** (hosts[position]?.load?.backOffSteps ?? 0))
  let scale = 1 / Math.max(...capacities)
  const probabilities = (): number[] => weights.map(weight => Math.min(1, weight * scale))
  const expectedCount = (): number => probabilities().reduce((sum, probability) => sum + probability, 0)
  while (expectedCount() < MIN_LISTED_COUNT) scale *= LENGTHENING_FACTOR
  return probabilities()
}

const HASH_RANGE = 2 ** 32

/** A fixed point in [0, 1) for a caller and a host. */
function pointOf (callerHash: number, hostId: string): number {
  return mix32(callerHash ^ hash32(hostId)) / HASH_RANGE
}
