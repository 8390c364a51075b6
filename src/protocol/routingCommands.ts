/**
 * Commands on the routing configuration, the weight versions that trainers
 * request, the members of the batch store, leaving endpoints, and the quarantine
 * of requests.
 */
import { z } from 'zod'
import { endpointLeaveRequestSchema, endpointLeaveSchema } from './endpointLeaves.js'
import { endedEndpointSchema, MAX_ENDS_PER_REPORT } from './quarantine.js'
import { routingSchema } from './routing.js'

export enum RoutingCommandKind {
  Replace = 'routing.replace',
  NameWeights = 'weights.name',
  FormStore = 'store.form',
  StartRetirement = 'store.retire',
  EndRetirement = 'store.retired',
  RecordLeave = 'endpoint.leave',
  RecordEnds = 'quarantine.note',
  ClearSuspects = 'quarantine.clear'
}

/** A replica of the batch store, identified by the random id on its disk. */
export const storeReplicaSchema = z.object({
  replicaId: z.string(),
  hostId: z.string(),
  peerAddress: z.string(),
  dataCentre: z.string().optional()
})
export type StoreReplica = z.infer<typeof storeReplicaSchema>

/** The initial members of the batch store; set only once. */
export const storeGroupSchema = z.object({
  clusterId: z.string(),
  initialReplicas: z.array(storeReplicaSchema).min(1)
})
export type StoreGroup = z.infer<typeof storeGroupSchema>

export enum RetirementState {
  /** The host still stores data that other hosts may lack. */
  Serving = 'serving',
  /** The host stores no data that is still needed. */
  Completed = 'completed'
}

export const retirementSchema = z.object({
  hostName: z.string(),
  hostId: z.string(),
  state: z.enum(RetirementState)
})
export type Retirement = z.infer<typeof retirementSchema>

export const routingCommandSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal(RoutingCommandKind.Replace),
    routing: routingSchema,
    /** The document as sent by the operator; reads return it unchanged. */
    document: z.string()
  }),
  z.object({ kind: z.literal(RoutingCommandKind.NameWeights), model: z.string(), version: z.int() }),
  z.object({ kind: z.literal(RoutingCommandKind.FormStore), group: storeGroupSchema }),
  z.object({ kind: z.literal(RoutingCommandKind.StartRetirement), hostName: z.string(), hostId: z.string() }),
  z.object({ kind: z.literal(RoutingCommandKind.EndRetirement), hostName: z.string() }),
  z.object({ kind: z.literal(RoutingCommandKind.RecordLeave), leave: endpointLeaveRequestSchema }),
  z.object({ kind: z.literal(RoutingCommandKind.RecordEnds), ends: z.array(endedEndpointSchema).max(MAX_ENDS_PER_REPORT) }),
  z.object({ kind: z.literal(RoutingCommandKind.ClearSuspects), digests: z.array(z.string()) })
])
export type RoutingCommand = z.infer<typeof routingCommandSchema>

export const routingResultSchema = z.discriminatedUnion('kind', [
  /** The configuration is in effect, or a version at least as high already was. */
  z.object({ kind: z.literal('routingHeld'), version: z.int() }),
  z.object({ kind: z.literal('weightsNamed'), version: z.int() }),
  z.object({ kind: z.literal('storeFormed') }),
  z.object({ kind: z.literal('retirementHeld') }),
  z.object({ kind: z.literal('leaveNoted'), leave: endpointLeaveSchema }),
  z.object({ kind: z.literal('quarantineHeld') })
])
export type RoutingResult = z.infer<typeof routingResultSchema>

/** A model and the newest weight version that a trainer has requested for it. */
export const namedWeightsSchema = z.object({ model: z.string(), version: z.int() })
export type NamedWeights = z.infer<typeof namedWeightsSchema>
