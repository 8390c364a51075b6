/**
 * What hosts that follow the control hosts say and are told, over framed TCP:
 * the routing configuration, the endpoints that announced themselves, the
 * other hosts, and the versions of weights to bring into force.
 */
import { z } from 'zod'
import { EndpointLifecycle, endpointLeaveSchema } from './endpointLeaves.js'
import { quarantineNoticeSchema } from './quarantine.js'
import { routingSchema } from './routing.js'
import { namedWeightsSchema, retirementSchema, storeGroupSchema } from './routingCommands.js'
import { usageReportSchema } from './usage.js'

export { EndpointLifecycle }

export const fleetEndpointSchema = z.object({
  /** New with every start of the endpoint: what is believed of one start never counts for the next. */
  endpointId: z.string(),
  /** What the endpoint calls itself, at each of its starts. */
  name: z.string(),
  /** Unix time of its start, by the clock of its host; 0 when it does not say. */
  bornAtMs: z.int().min(0),
  service: z.string(),
  /** `ip:port` */
  address: z.string(),
  dataCentre: z.string(),
  slotsCount: z.int().min(0),
  lifecycle: z.enum(EndpointLifecycle),
  /** Grows with every heartbeat of the endpoint. */
  sequence: z.number(),
  /** How much longer it is slow after its start, at the time of the heartbeat. */
  coldLeftMs: z.number(),
  /** It costs less and may be taken away at short notice. */
  isReclaimable: z.boolean().optional(),
  /** Time until it is taken away, at the time of the heartbeat; absent when it does not say. */
  leavesInMs: z.number().optional(),
  weights: z.array(namedWeightsSchema)
})
export type FleetEndpoint = z.infer<typeof fleetEndpointSchema>

/** One start of an endpoint. Those that do not say when they started have a new name with every start. */
export function incarnationId (name: string, bornAtMs: number): string {
  return bornAtMs === 0 ? name : `${name}@${bornAtMs}`
}

export enum HostRole {
  Entry = 'entry',
  Store = 'store'
}

export const storeStatusSchema = z.object({
  replicaId: z.string(),
  /** Where the other replicas and entry hosts connect. */
  peerAddress: z.string(),
  clusterId: z.string().nullable(),
  term: z.int(),
  isLeader: z.boolean(),
  /** Replicas that hold the store, voters and spares, as the leader knows them; empty elsewhere. */
  memberIds: z.array(z.string())
})
export type StoreStatus = z.infer<typeof storeStatusSchema>

export const fleetHostSchema = z.object({
  hostId: z.string(),
  hostName: z.string(),
  dataCentre: z.string(),
  role: z.enum(HostRole),
  /** Takes new work. */
  isServing: z.boolean(),
  /** Where callers connect; entry hosts only. */
  callerAddress: z.string().optional(),
  store: storeStatusSchema.optional()
})
export type FleetHost = z.infer<typeof fleetHostSchema>

/**
 * Parts that are left out have not changed since the last update of the
 * connection. Hosts come whole once on a connection and by change from then on;
 * a connection keeps its order and loses nothing, and a new one begins anew.
 */
export const fleetUpdateSchema = z.object({
  routing: routingSchema.optional(),
  weights: z.array(namedWeightsSchema).optional(),
  storeGroup: storeGroupSchema.optional(),
  retirements: z.array(retirementSchema).optional(),
  /** All hosts; those told of before and not named here are gone. */
  hosts: z.array(fleetHostSchema).optional(),
  /** Hosts that are new or have changed. */
  changedHosts: z.array(fleetHostSchema).optional(),
  lostHostIds: z.array(z.string()).optional(),
  endpoints: z.array(fleetEndpointSchema).optional(),
  /** Leaves that were noted since the last update of the connection, in the order of their numbers. */
  leaves: z.array(endpointLeaveSchema).optional(),
  /** Requests under which endpoints ended, as they were judged since the last update of the connection. */
  quarantine: z.array(quarantineNoticeSchema).optional(),
  /** Endpoints that fell silent, with the last sequence that was heard. */
  silent: z.array(z.object({ endpointId: z.string(), sequence: z.number() })).optional()
})
export type FleetUpdate = z.infer<typeof fleetUpdateSchema>

export const followRequestSchema = z.object({
  /** The follower; left out when the last call on this connection was answered and it has not changed since. */
  host: fleetHostSchema.optional(),
  /** Version of the routing configuration in force on the host; absent before the first one. */
  routingVersion: z.int().optional(),
  /** The follower's time of day, by its own clock. */
  wallMs: z.number().optional(),
  /** Left out while nothing has changed since the last call that was answered. */
  usage: usageReportSchema.optional()
})
export type FollowRequest = z.infer<typeof followRequestSchema>

export const followReplySchema = z.object({
  /** Every control host, for a follower whose settings are older than the cluster; left out while it has not changed. */
  controlAddresses: z.array(z.string()).optional(),
  /** True when a quorum confirmed, after the call began, that nothing newer is in force. */
  isRoutingConfirmed: z.boolean(),
  /** The time of day as most hosts have it. */
  fleetWallMs: z.number().optional(),
  update: fleetUpdateSchema
})
export type FollowReply = z.infer<typeof followReplySchema>
