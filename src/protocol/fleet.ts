/**
 * Messages between the control hosts and their followers, over framed TCP: the
 * routing configuration, announced endpoints, the other hosts, and the requested
 * weight versions.
 */
import { z } from 'zod'
import { EndpointLifecycle, endpointLeaveSchema } from './endpointLeaves.js'
import { quarantineEntrySchema } from './quarantine.js'
import { routingSchema } from './routing.js'
import { namedWeightsSchema, retirementSchema, storeGroupSchema } from './routingCommands.js'
import { serviceFiguresSchema, serviceTotalsSchema } from './serviceFigures.js'
import { usageReportSchema } from './usage.js'

export { EndpointLifecycle }

export const fleetEndpointSchema = z.object({
  /** New with every start of the endpoint, so that the observed state of one incarnation is never applied to the next. */
  endpointId: z.string(),
  /** The name under which the endpoint announces itself; the same for all incarnations. */
  name: z.string(),
  /** Unix time of the start, by the clock of the endpoint's host; 0 if not announced. */
  bornAtMs: z.int().min(0),
  service: z.string(),
  /** `ip:port` */
  address: z.string(),
  dataCentre: z.string(),
  slotsCount: z.int().min(0),
  lifecycle: z.enum(EndpointLifecycle),
  /** Increases with every heartbeat of the endpoint. */
  sequence: z.number(),
  /** Remaining time of the slow phase after the start, as of the heartbeat. */
  coldLeftMs: z.number(),
  /** The endpoint costs less and may be reclaimed at short notice. */
  isReclaimable: z.boolean().optional(),
  /** Time until the endpoint is reclaimed, as of the heartbeat; absent if not announced. */
  leavesInMs: z.number().optional(),
  weights: z.array(namedWeightsSchema)
})
export type FleetEndpoint = z.infer<typeof fleetEndpointSchema>

/** Id of one incarnation of an endpoint. Endpoints that do not announce their start time use a new name for every start. */
export function incarnationId (name: string, bornAtMs: number): string {
  return bornAtMs === 0 ? name : `${name}@${bornAtMs}`
}

export enum HostRole {
  Entry = 'entry',
  Store = 'store'
}

export const storeStatusSchema = z.object({
  replicaId: z.string(),
  /** The address to which other replicas and entry hosts connect. */
  peerAddress: z.string(),
  clusterId: z.string().nullable(),
  term: z.int(),
  isLeader: z.boolean(),
  /** Voters and spares of the store, reported by the leader only; empty on other replicas. */
  memberIds: z.array(z.string()),
  /** Whether it applies submissions that were sent in parts; absent from hosts that do not. */
  takesParts: z.boolean().optional(),
  /** Whether it applies that parts give way to others; absent from hosts that do not. */
  dropsParts: z.boolean().optional()
})
export type StoreStatus = z.infer<typeof storeStatusSchema>

/** How busy an entry host is; coarse, because each change is passed on to all entry hosts. */
export const hostLoadSchema = z.object({
  /** Use of the capacity in sixteenths, of the resource that is shortest; 0 while idle. */
  useSteps: z.int().min(0),
  /** Each step takes a twentieth of the callers from a host that can do less than its capacity says. */
  backOffSteps: z.int().min(0),
  /** The host should get no new callers; absent if not. */
  isOverloaded: z.boolean().optional()
})
export type HostLoad = z.infer<typeof hostLoadSchema>

export const fleetHostSchema = z.object({
  hostId: z.string(),
  hostName: z.string(),
  dataCentre: z.string(),
  role: z.enum(HostRole),
  /** The host accepts new work. */
  isServing: z.boolean(),
  /** The address to which callers connect; entry hosts only. */
  callerAddress: z.string().optional(),
  /** What an entry host can carry, in cores; absent if its limits are not known. */
  capacity: z.number().positive().optional(),
  /** Absent in the description that a host sends of itself, and while it has reported none. */
  load: hostLoadSchema.optional(),
  store: storeStatusSchema.optional()
})
export type FleetHost = z.infer<typeof fleetHostSchema>

/** A routing configuration in the form that `transport/packedRouting` reads. */
const packedRoutingSchema = z.object({
  version: z.int().min(0),
  deflated: z.instanceof(Uint8Array)
})
export type PackedRouting = z.infer<typeof packedRoutingSchema>

/**
 * Absent fields have not changed since the last update on this connection. The
 * first update has the full list of hosts, later ones only changes: a connection
 * delivers updates in order and without loss, and a new one starts over.
 */
export const fleetUpdateSchema = z.object({
  /** For followers that do not accept it packed. */
  routing: routingSchema.optional(),
  packedRouting: packedRoutingSchema.optional(),
  weights: z.array(namedWeightsSchema).optional(),
  storeGroup: storeGroupSchema.optional(),
  retirements: z.array(retirementSchema).optional(),
  /** All hosts; any other known host is removed. */
  hosts: z.array(fleetHostSchema).optional(),
  /** New and changed hosts. */
  changedHosts: z.array(fleetHostSchema).optional(),
  lostHostIds: z.array(z.string()).optional(),
  /** Changed loads of known hosts. */
  hostLoads: z.array(z.object({ hostId: z.string(), load: hostLoadSchema })).optional(),
  endpoints: z.array(fleetEndpointSchema).optional(),
  /** Departures of endpoints recorded since the last update on this connection, in the order of the departure numbers. */
  leaves: z.array(endpointLeaveSchema).optional(),
  /** Quarantine entries that are new or have changed since the last update on this connection. */
  quarantine: z.array(quarantineEntrySchema).optional(),
  /** Endpoints without recent heartbeats, with the last sequence number received. */
  silent: z.array(z.object({ endpointId: z.string(), sequence: z.number() })).optional(),
  /** How full the services are that lack room, summed over all hosts that use them; sent by the holder of the figures. */
  serviceTotals: z.array(serviceTotalsSchema).optional()
})
export type FleetUpdate = z.infer<typeof fleetUpdateSchema>

export const followRequestSchema = z.object({
  /** The follower itself; absent if unchanged since the last answered call on this connection. */
  host: fleetHostSchema.optional(),
  /** Absent if unchanged since the last answered call on this connection. Not part of the description, as a changed description is answered by the full state. */
  load: hostLoadSchema.optional(),
  /** Version of the routing configuration in effect on the host; absent before the first one. */
  routingVersion: z.int().optional(),
  /** The follower takes a routing configuration packed, and from updates; in the first call of a connection, absent from earlier builds. */
  acceptsPackedRouting: z.boolean().optional(),
  /** The follower's time of day, by its own clock. */
  wallMs: z.number().optional(),
  /** Absent if unchanged since the last answered call. */
  usage: usageReportSchema.optional(),
  /** Services that lack room, of which the called host holds the figures; absent if there are none or if they have hardly changed. */
  services: z.array(serviceFiguresSchema).optional()
})
export type FollowRequest = z.infer<typeof followRequestSchema>

export const followReplySchema = z.object({
  /** All control hosts, for followers whose settings list outdated members; absent if unchanged. */
  controlAddresses: z.array(z.string()).optional(),
  /** True if a quorum confirmed, after the call started, that no newer routing configuration is in effect. */
  isRoutingConfirmed: z.boolean(),
  /** The version in effect when a quorum confirmed; a follower may put it or a later one into effect as its first. */
  confirmedRoutingVersion: z.int().optional(),
  /** The time of day according to most hosts. */
  fleetWallMs: z.number().optional(),
  update: fleetUpdateSchema
})
export type FollowReply = z.infer<typeof followReplySchema>
