/**
 * The operators' HTTP interface at the operator address of any control host.
 * Followers forward these calls to the leader.
 */
import { z } from 'zod'
import { entryHostSchema } from './hostCommands.js'
import { quarantineEntrySchema } from './quarantine.js'

export const operatorPaths = {
  /** Followed by kind, and kind/name. */
  resources: '/v1/resources/',
  watch: '/v1/watch',
  status: '/v1/status',
  /** Followed by job/progress. */
  jobs: '/v1/jobs/',
  /** Followed by a digest, to lift the quarantine of that request. */
  quarantine: '/v1/quarantine/',
  /** At an entry host's operator address; followed by the id of a request or an attempt. */
  explain: '/v1/explain/',
  /** At an entry host's operator address. */
  drain: '/v1/drain',
  /** At an entry host's operator address; followed by endpointId/drain. */
  endpoints: '/v1/endpoints/'
} as const

/** PUT /v1/resources/{kind}/{name} */
export const putResourceSchema = z.strictObject({
  changeId: z.string().min(1).max(128),
  expectedRevision: z.int().min(0).optional(),
  spec: z.unknown()
})
export type PutResource = z.infer<typeof putResourceSchema>

export const memberStatusSchema = z.object({
  hostId: z.string(),
  peerAddress: z.string()
}).loose()
export type MemberStatus = z.infer<typeof memberStatusSchema>

export const entryHostStatusSchema = entryHostSchema.partial({ peerAddress: true, incarnation: true }).extend({
  /** The address for `drain` and `explain`, `ip:port`. */
  operatorAddress: z.string().optional(),
  /** Configuration revision in effect on the host, as it last reported. */
  revisionInForce: z.int(),
  holdsLease: z.boolean()
})
export type EntryHostStatus = z.infer<typeof entryHostStatusSchema>

/** GET /v1/status */
export const clusterStatusSchema = z.object({
  leaderHostId: z.string().nullish(),
  term: z.int(),
  revision: z.int(),
  members: z.array(memberStatusSchema),
  entryHosts: z.array(entryHostStatusSchema)
})
export type ClusterStatus = z.infer<typeof clusterStatusSchema>

/** Body of status 410: the start revision of the watch has been compacted; list again and watch from that revision. */
export const compactedSchema = z.object({
  reason: z.literal('compacted'),
  currentRevision: z.int()
})

/** Requests during which endpoints failed, latest last. */
export const quarantineListSchema = z.object({ requests: z.array(quarantineEntrySchema) })
export type QuarantineList = z.infer<typeof quarantineListSchema>
