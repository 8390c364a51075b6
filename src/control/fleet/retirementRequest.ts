/**
 * Whether a store host may be emptied and taken away. The store hosts are known
 * by who follows this control host, which is not all that there are: a host that
 * was lost a moment ago may only be connecting again, and the operator takes a
 * refusal for final. What this control host cannot know yet, it does not refuse.
 */
import type { FleetHost } from '../../protocol/fleet.js'
import type { Retirement } from '../../protocol/routingCommands.js'

export interface RetirementRequest {
  hostName: string
  /** Store hosts that follow this control host now. */
  following: readonly FleetHost[]
  /** Those that did until a while ago. */
  latelyLost: readonly FleetHost[]
  retirements: readonly Retirement[]
  /** Hosts with a disk that may be lost at once. */
  toleratedLosses: number
}

export type RetirementDecision =
  | { kind: 'begin', hostId: string }
  | { kind: 'unknownHost' }
  | { kind: 'tooFewLeft', fewestCount: number }
  /** To be asked again soon. */
  | { kind: 'unsure', reason: string }

export function decideRetirement (request: RetirementRequest): RetirementDecision {
  const { hostName, following, latelyLost, toleratedLosses } = request
  const host = [...following, ...latelyLost].find(candidate => candidate.hostName === hostName)
  if (!host) return following.length > 0 ? { kind: 'unknownHost' } : { kind: 'unsure', reason: 'no store host follows this control host yet' }
  const fewestCount = 2 * toleratedLosses + 1
  if (leftCount(following, request, host) >= fewestCount) return { kind: 'begin', hostId: host.hostId }
  if (leftCount([...following, ...latelyLost], request, host) < fewestCount) return { kind: 'tooFewLeft', fewestCount }
  return { kind: 'unsure', reason: 'store hosts were lost a moment ago' }
}

/** Hosts that hold the store once this one, and those that are to go already, are gone. */
function leftCount (hosts: readonly FleetHost[], { retirements }: RetirementRequest, leaving: FleetHost): number {
  const goingIds = new Set([...retirements.map(({ hostId }) => hostId), leaving.hostId])
  return hosts.filter(({ hostId }) => !goingIds.has(hostId)).length
}
