/**
 * What hosts that follow the control hosts say and are told, over framed TCP:
 * the routing configuration, the endpoints that announced themselves, the
 * other hosts, and the versions of weights to bring into force.
 */
import { z } from 'zod'
import { routingSchema } from './routing.js'
import { namedWeightsSchema, retirementSchema, storeGroupSchema } from './routingCommands.js'

/** Grows only: an endpoint that leaves never becomes ready again under its id. */
export enum EndpointLifecycle {
  Ready = 0,
  /** Finishes what it runs; gets nothing new. */
  Leaving = 1,
  Gone = 2
}

export const fleetEndpointSchema = z.object({
  /** New with every start of the endpoint. */
  endpointId: z.string(),
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
  weights: z.array(namedWeightsSchema)
})
export type FleetEndpoint = z.infer<typeof fleetEndpointSchema>

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
  /** Replicas that vote, as the leader knows them; empty elsewhere. */
  voterIds: z.array(z.string())
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

/** Parts that are left out have not changed since the last update of the connection. */
export const fleetUpdateSchema = z.object({
  routing: routingSchema.optional(),
  weights: z.array(namedWeightsSchema).optional(),
  storeGroup: storeGroupSchema.optional(),
  retirements: z.array(retirementSchema).optional(),
  hosts: z.array(fleetHostSchema).optional(),
  endpoints: z.array(fleetEndpointSchema).optional(),
  /** Endpoints that fell silent, with the last sequence that was heard. */
  silent: z.array(z.object({ endpointId: z.string(), sequence: z.number() })).optional()
})
export type FleetUpdate = z.infer<typeof fleetUpdateSchema>

export const followRequestSchema = z.object({
  host: fleetHostSchema,
  /** Version of the routing configuration in force on the host; absent before the first one. */
  routingVersion: z.int().optional()
})
export type FollowRequest = z.infer<typeof followRequestSchema>

export const followReplySchema = z.object({
  /** Every control host, for a follower whose settings are older than the cluster. */
  controlAddresses: z.array(z.string()),
  /** True when a quorum confirmed, after the call began, that nothing newer is in force. */
  isRoutingConfirmed: z.boolean(),
  update: fleetUpdateSchema
})
export type FollowReply = z.infer<typeof followReplySchema>
