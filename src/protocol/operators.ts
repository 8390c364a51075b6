/**
 * What operators send to the operator address of any control host, and get.
 * Followers pass these calls on to the leader.
 */
import { z } from 'zod'
import { entryHostSchema } from './hostCommands.js'
import { quarantineNoticeSchema } from './quarantine.js'

export const operatorPaths = {
  /** Followed by kind, and kind/name. */
  resources: '/v1/resources/',
  watch: '/v1/watch',
  status: '/v1/status',
  /** Followed by job/progress. */
  jobs: '/v1/jobs/',
  /** Followed by a digest, to let it go. */
  quarantine: '/v1/quarantine/',
  /** Of an entry host's operator address; followed by a request's or an attempt's id. */
  explain: '/v1/explain/',
  /** Of an entry host's operator address. */
  drain: '/v1/drain',
  /** Of an entry host's operator address; followed by endpointId/drain. */
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
  /** Where `drain` and `explain` go, `ip:port`. */
  operatorAddress: z.string().optional(),
  /** Highest revision of the configuration that the host has in force, as it last said. */
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

/** 410 of a watch whose start has been compacted away: list again, then watch from there. */
export const compactedSchema = z.object({
  reason: z.literal('compacted'),
  currentRevision: z.int()
})

/** Requests under which endpoints ended, the latest last. */
export const quarantineListSchema = z.object({ requests: z.array(quarantineNoticeSchema) })
export type QuarantineList = z.infer<typeof quarantineListSchema>
