/**
 * The fleet of the measured leader, as its control hosts report it: engines, two
 * scoring services and the store hosts.
 */
import { FleetView } from '../../src/fleet/fleetView.js'
import { HostRole, type FleetUpdate } from '../../src/protocol/fleet.js'
import type { Member } from '../../src/replication/log/members.js'
import { silentLogger } from '../../src/utils/logger.js'
import { batchRoute, DATA_CENTRE, endpoint, engine, route, routing } from '../../tests/fixtures/fleet/fleetFixtures.js'

const FIRST_PORT = 21_000
const SLOTS_COUNT = 8
export const MODELS = ['m0', 'm1', 'm2']
export const TOKENS_PER_EVENT = 69
export const CONTROL_SOURCE = 'control-1'

export interface BenchFleet {
  view: FleetView
  /** What each heartbeat of a control host repeats. */
  update: FleetUpdate
}

export function fleetViewOf (ip: string, enginesCount: number, members: readonly Member[]): BenchFleet {
  const weights = MODELS.map(model => ({ model, version: 1 }))
  const engines = Array.from({ length: enginesCount }, (_value, position) => (
    engine(`e${position + 1}`, 1, { address: `${ip}:${FIRST_PORT + position + 1}`, slotsCount: SLOTS_COUNT, weights })
  ))
  const scorers = ['d1', 'd2'].map((id, position) => endpoint(id, { address: `${ip}:${FIRST_PORT + position + 1}`, slotsCount: 60 }))
  const configuration = routing(1, [route(), batchRoute()])
  for (const { engine: modelEngine } of configuration.services) {
    if (modelEngine) Object.assign(modelEngine, { slotsCount: SLOTS_COUNT, kvCapacityTokens: 29_432, tokensPerEvent: TOKENS_PER_EVENT, models: MODELS })
  }
  const update = { routing: configuration, endpoints: [...scorers, ...engines] }
  const view = new FleetView(silentLogger)
  const hosts = members.map(({ hostId, replicaId, peerAddress }) => {
    const store = { replicaId, peerAddress, clusterId: null, term: 0, isLeader: false, memberIds: [] }
    return { hostId, hostName: hostId, dataCentre: DATA_CENTRE, role: HostRole.Store, isServing: true, store }
  })
  view.merge(CONTROL_SOURCE, { ...update, hosts })
  return { view, update }
}
