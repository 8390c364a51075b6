/**
 * Endpoints of the users' platform, as seen by one control host: each announces
 * itself to one control host, repeats its heartbeat, and loads new weights every
 * few seconds.
 */
import type { ControlProgram } from '../../src/control/controlProgram.js'
import { EndpointLifecycle, type FleetEndpoint } from '../../src/protocol/fleet.js'

export const HEARTBEAT_MS = 1_200
/** A new weight version about every four seconds, as often as trainers announce one. */
const HEARTBEATS_PER_VERSION = 3

export interface AnnouncedShare {
  /** Number of the control host, from 1. */
  number: number
  membersCount: number
  /** Number of endpoints of all control hosts together. */
  endpointsCount: number
}

function endpointOf (number: number, sequence: number): FleetEndpoint {
  return {
    endpointId: `endpoint-${number}`,
    name: `endpoint-${number}`,
    bornAtMs: 0,
    service: 'engines',
    address: `10.128.${number >> 8}.${number & 255}:8080`,
    dataCentre: 'a',
    slotsCount: 8,
    lifecycle: EndpointLifecycle.Ready,
    sequence,
    coldLeftMs: 0,
    weights: [{ model: 'practice-lm', version: 1 + Math.floor(sequence / HEARTBEATS_PER_VERSION) }]
  }
}

/** Starts the heartbeats of the endpoints of this control host, spread evenly over the interval. */
export function announceFleetEndpoints (program: ControlProgram, { number, membersCount, endpointsCount }: AnnouncedShare): void {
  for (let endpoint = number; endpoint <= endpointsCount; endpoint += membersCount) {
    let sequence = 0
    const announce = (): void => {
      const outcome = program.directory.heartbeat(endpointOf(endpoint, ++sequence))
      if (outcome.kind === 'changed') program.followers.announce(outcome.endpoint, outcome.news)
    }
    setTimeout(() => setInterval(announce, HEARTBEAT_MS), HEARTBEAT_MS * endpoint / endpointsCount)
  }
}
