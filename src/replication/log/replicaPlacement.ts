/**
 * How many replicas of a log there are and where, when there are more hosts
 * than the losses to bear need. No network.
 *
 * The pattern it answers: with every host a voter, each entry goes to all of
 * them and waits for half of them, so that a larger deployment is a slower one:
 * thirty store hosts make thirty copies of each result, most of them over links
 * between data centres. 2f + 1 voters hold an entry on one disk more than may be
 * lost. f spares hold the log as learners, so that a lost voter's place is taken
 * at once, without a copy of the state first; the others hold nothing until they
 * are needed.
 */
import { MemberRole, type Member } from './members.js'

export interface ReplicaPlacement {
  votersCount: number
  /** Learners that hold the log and stand by. */
  sparesCount: number
}

/** @param toleratedLosses disks that may be lost at once */
export function placementFor (toleratedLosses: number): ReplicaPlacement {
  return { votersCount: 2 * toleratedLosses + 1, sparesCount: toleratedLosses }
}

function membersCount ({ votersCount, sparesCount }: ReplicaPlacement): number {
  return votersCount + sparesCount
}

/** Whether a newcomer is wanted beside the hosts that are members and stay. */
export function hasPlace (placement: ReplicaPlacement, staying: readonly Member[], newcomer: Omit<Member, 'role'>): boolean {
  const hostIds = new Set(staying.map(({ hostId }) => hostId))
  if (hostIds.size >= membersCount(placement)) return false
  // Fewer than the voters that are needed are worse than two in one place.
  if (hostIds.size < placement.votersCount) return true
  return countIn(staying, newcomer.dataCentre) < maxPerDataCentre(placement, [...staying, newcomer])
}

/** As even as it can be over the data centres that are known. */
function maxPerDataCentre (placement: ReplicaPlacement, members: ReadonlyArray<Omit<Member, 'role'>>): number {
  const dataCentres = new Set(members.map(({ dataCentre }) => dataCentre))
  return Math.ceil(membersCount(placement) / dataCentres.size)
}

function countIn (members: readonly Member[], dataCentre: string | undefined): number {
  return members.filter(member => member.dataCentre === dataCentre).length
}

/** Of learners that could vote, the one whose data centre has the fewest voters. */
export function bestCandidate (learners: readonly Member[], voters: readonly Member[]): Member | undefined {
  return byDataCentreCount(learners, voters)[0]
}

/** A member that is there beyond the places: it votes or learns one step less; undefined when there is none. */
export function excessMember (placement: ReplicaPlacement, staying: readonly Member[], leaderId: string): Member | undefined {
  const voters = staying.filter(({ role }) => role === MemberRole.Voter)
  const others = voters.filter(({ replicaId }) => replicaId !== leaderId)
  if (voters.length > placement.votersCount) return byDataCentreCount(others, voters).at(-1)
  const learners = staying.filter(({ role }) => role === MemberRole.Learner)
  return staying.length > membersCount(placement) ? byDataCentreCount(learners, staying).at(-1) : undefined
}

function byDataCentreCount (members: readonly Member[], counted: readonly Member[]): Member[] {
  return [...members].sort((left, right) => countIn(counted, left.dataCentre) - countIn(counted, right.dataCentre))
}

/** The first of a list of hosts, taken from each data centre in turn. */
export function spreadOver<T extends { dataCentre: string }> (hosts: readonly T[], count: number): T[] {
  const byDataCentre = new Map<string, T[]>()
  for (const host of hosts) byDataCentre.set(host.dataCentre, [...byDataCentre.get(host.dataCentre) ?? [], host])
  const chosen: T[] = []
  for (let round = 0; chosen.length < Math.min(count, hosts.length); round++) {
    for (const hostsOfDataCentre of byDataCentre.values()) chosen.push(...hostsOfDataCentre.slice(round, round + 1))
  }
  return chosen.slice(0, count)
}
