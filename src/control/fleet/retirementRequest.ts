/**
 * Decides whether a store host may be emptied and removed. This control host knows
 * only the store hosts that follow it: a host that was disconnected a moment ago
 * may be reconnecting, and operators treat a refusal as final. If the information
 * is not sufficient yet, the decision is `unsure` instead of a refusal.
 */
import type { FleetHost } from '../../protocol/fleet.js'
import type { Retirement } from '../../protocol/routingCommands.js'

export interface RetirementRequest {
  hostName: string
  /** Store hosts that follow this control host now. */
  following: readonly FleetHost[]
  /** Store hosts that were disconnected recently. */
  latelyLost: readonly FleetHost[]
  retirements: readonly Retirement[]
  /** Number of hosts that may lose their disks at the same time. */
  toleratedLosses: number
}

export type RetirementDecision =
  | { kind: 'begin', hostId: string }
  | { kind: 'unknownHost' }
  | { kind: 'tooFewLeft', fewestCount: number }
  /** The caller should retry soon. */
  | { kind: 'unsure', reason: string }

export function decideRetirement (request: RetirementRequest): RetirementDecision {
  const { hostName, following, latelyLost, toleratedLosses } = request
  const host = [...following, ...latelyLost].find(candidate => candidate.hostName === hostName)
  if (!host) return following.length > 0 ? { kind: 'unknownHost' } : { kind: 'unsure', reason: 'no store host follows this control host yet' }
  const fewestCount = 2 * toleratedLosses + 1
  if (remainingCount(following, request, host) >= fewestCount) return { kind: 'begin', hostId: host.hostId }
  if (remainingCount([...following, ...latelyLost], request, host) < fewestCount) return { kind: 'tooFewLeft', fewestCount }
  return { kind: 'unsure', reason: 'store hosts were lost a moment ago' }
}

/** Number of store hosts that remain after this host and all hosts that already retire have been removed. */
function remainingCount (hosts: readonly FleetHost[], { retirements }: RetirementRequest, leaving: FleetHost): number {
  const leavingIds = new Set([...retirements.map(({ hostId }) => hostId), leaving.hostId])
  return hosts.filter(({ hostId }) => !leavingIds.has(hostId)).length
}
