/**
 * Decides how many replicas a log has and on which hosts, when there are more
 * hosts than the number of losses to tolerate requires. Pure functions, no
 * network.
 *
 * If every host were a voter, each entry would be sent to all of them and wait
 * for half of them, so a larger deployment would be slower: thirty store hosts
 * would write thirty replicas of each result, most of which cross links between
 * data centres. With 2f + 1 voters, a committed entry is on one more disk than
 * may be lost. f spares store the log as learners, so that a lost voter is
 * replaced at once, without copying the state first. The other hosts store
 * nothing until they are needed.
 */
import { MemberRole, type Member } from './members.js'

export interface ReplicaPlacement {
  votersCount: number
  /** Learners that hold the log as standbys. */
  sparesCount: number
}

/** @param toleratedLosses number of disks that may be lost at the same time */
export function placementFor (toleratedLosses: number): ReplicaPlacement {
  return { votersCount: 2 * toleratedLosses + 1, sparesCount: toleratedLosses }
}

function membersCount ({ votersCount, sparesCount }: ReplicaPlacement): number {
  return votersCount + sparesCount
}

/**
 * Whether a newcomer is to be added to the members.
 * @param staying members whose hosts are not leaving
 */
export function shouldAdmit (placement: ReplicaPlacement, staying: readonly Member[], newcomer: Omit<Member, 'role'>): boolean {
  const hostIds = new Set(staying.map(({ hostId }) => hostId))
  if (hostIds.size >= membersCount(placement)) return false
  // Too few voters are worse than an uneven distribution over data centres.
  if (hostIds.size < placement.votersCount) return true
  return countIn(staying, newcomer.dataCentre) < maxPerDataCentre(placement, [...staying, newcomer])
}

/** Maximum number of members per data centre for an even distribution over the known ones. */
function maxPerDataCentre (placement: ReplicaPlacement, members: ReadonlyArray<Omit<Member, 'role'>>): number {
  const dataCentres = new Set(members.map(({ dataCentre }) => dataCentre))
  return Math.ceil(membersCount(placement) / dataCentres.size)
}

function countIn (members: readonly Member[], dataCentre: string | undefined): number {
  return members.filter(member => member.dataCentre === dataCentre).length
}

/** Of learners that may be promoted, the one whose data centre has the fewest voters. */
export function learnerToPromote (learners: readonly Member[], voters: readonly Member[]): Member | undefined {
  return byDataCentreCount(learners, voters)[0]
}

/** A member beyond the placement, which is to be demoted (a voter) or removed (a learner); undefined if there is none. */
export function excessMember (placement: ReplicaPlacement, staying: readonly Member[], leaderId: string): Member | undefined {
  const voters = staying.filter(({ role }) => role === MemberRole.Voter)
  const others = voters.filter(({ replicaId }) => replicaId !== leaderId)
  if (voters.length > placement.votersCount) return byDataCentreCount(others, voters).at(-1)
  const learners = staying.filter(({ role }) => role === MemberRole.Learner)
  return staying.length > membersCount(placement) ? byDataCentreCount(learners, staying).at(-1) : undefined
}

/** Sorts members by how many of the counted ones are in their data centre, fewest first. */
function byDataCentreCount (members: readonly Member[], counted: readonly Member[]): Member[] {
  return [...members].sort((left, right) => countIn(counted, left.dataCentre) - countIn(counted, right.dataCentre))
}

/** Selects hosts by taking them from each data centre in turn, in the order of the list. */
export function spreadOverDataCentres<T extends { dataCentre: string }> (hosts: readonly T[], count: number): T[] {
  const byDataCentre = new Map<string, T[]>()
  for (const host of hosts) byDataCentre.set(host.dataCentre, [...byDataCentre.get(host.dataCentre) ?? [], host])
  const chosen: T[] = []
  for (let round = 0; chosen.length < Math.min(count, hosts.length); round++) {
    for (const hostsOfDataCentre of byDataCentre.values()) chosen.push(...hostsOfDataCentre.slice(round, round + 1))
  }
  return chosen.slice(0, count)
}
