/**
 * Members of the replicated log. A replica is identified by a random id on its
 * disk, so a host whose disk was wiped comes back as a different replica.
 */
import { z } from 'zod'

export enum MemberRole {
  Voter = 'voter',
  /** Receives the log but does not vote until it has caught up. */
  Learner = 'learner'
}

export const memberSchema = z.object({
  replicaId: z.string(),
  hostId: z.string(),
  peerAddress: z.string(),
  operatorAddress: z.string(),
  /** Data centre of the host, if members are spread over data centres. */
  dataCentre: z.string().optional(),
  role: z.enum(MemberRole)
})
export type Member = z.infer<typeof memberSchema>

export function votersOf (members: readonly Member[]): Member[] {
  return members.filter(member => member.role === MemberRole.Voter)
}

export function isVoter (members: readonly Member[], replicaId: string): boolean {
  return members.some(member => member.replicaId === replicaId && member.role === MemberRole.Voter)
}

/** Number of voters that form a majority. */
export function quorumCount (votersCount: number): number {
  return Math.floor(votersCount / 2) + 1
}

/** The highest value that a majority of the voters has reached. */
export function quorumValue (members: readonly Member[], valueOf: (replicaId: string) => number): number {
  const values = votersOf(members).map(member => valueOf(member.replicaId)).sort((left, right) => right - left)
  return values[quorumCount(values.length) - 1] ?? Number.NEGATIVE_INFINITY
}
