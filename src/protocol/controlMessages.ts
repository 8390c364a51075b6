/**
 * What entry hosts say to the leader of the control hosts, over framed TCP.
 */
import { z } from 'zod'
import { commandResultSchema, commandSchema } from './commands.js'
import { configurationChangeSchema, configurationListingSchema } from './configuration.js'
import { querySchema } from './queries.js'

/** The host asked does not lead; the address is that of the leader, if it knows one. */
export const notLeaderSchema = z.object({ kind: z.literal('notLeader'), leaderAddress: z.string().optional() })

export const findLeaderReplySchema = z.object({
  isLeader: z.boolean(),
  leaderAddress: z.string().optional(),
  /** All control hosts, for a client whose settings are older than the cluster. */
  memberAddresses: z.array(z.string())
})

export const submitRequestSchema = z.object({ command: commandSchema })

export const submitReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('committed'), result: commandResultSchema }),
  z.object({ kind: z.literal('notCommitted'), reason: z.string() }),
  z.object({ kind: z.literal('unknown'), reason: z.string() }),
  notLeaderSchema
])
export type SubmitReply = z.infer<typeof submitReplySchema>

export const queryRequestSchema = z.object({ query: querySchema })

export const queryReplySchema = z.discriminatedUnion('kind', [
  /** Checked against the schema of its query by whoever asked. */
  z.object({ kind: z.literal('answered'), result: z.unknown() }),
  z.object({ kind: z.literal('unavailable'), reason: z.string() }),
  notLeaderSchema
])
export type QueryReply = z.infer<typeof queryReplySchema>

export const renewRequestSchema = z.object({
  hostId: z.string(),
  incarnation: z.number(),
  /** Undefined until the host has met a cluster; another cluster's configuration is never taken. */
  clusterId: z.string().optional(),
  /** The revision in force on the host. */
  revision: z.int(),
  operatorAddress: z.string().optional()
})
export type RenewRequest = z.infer<typeof renewRequestSchema>

const granted = {
  clusterId: z.string(),
  /** How long the lease lasts, counted from when the request was sent. */
  leaseMs: z.number()
}

export const renewReplySchema = z.discriminatedUnion('kind', [
  /** The changes bring the host to the committed revision. */
  z.object({ kind: z.literal('renewed'), ...granted, changes: z.array(configurationChangeSchema) }),
  /** The host is too far behind for changes. */
  z.object({ kind: z.literal('listing'), ...granted, listing: configurationListingSchema }),
  /** The host is not in the registry, or no longer: it has to register first. */
  z.object({ kind: z.literal('unregistered') }),
  /** A newer start of the same host is registered. */
  z.object({ kind: z.literal('superseded') }),
  /** The host follows another cluster, or a later revision than this one ever had. */
  z.object({ kind: z.literal('foreign') }),
  z.object({ kind: z.literal('unavailable'), reason: z.string() }),
  notLeaderSchema
])
export type RenewReply = z.infer<typeof renewReplySchema>

/** Pushed to every host that holds a lease when something was committed. */
export const changesNoticeSchema = z.object({
  clusterId: z.string(),
  changes: z.array(configurationChangeSchema)
})
export type ChangesNotice = z.infer<typeof changesNoticeSchema>

export const readIndexReplySchema = z.discriminatedUnion('kind', [
  /** Whoever has applied the log up to the index reads nothing out of date. */
  z.object({ kind: z.literal('confirmed'), index: z.int() }),
  z.object({ kind: z.literal('unavailable'), reason: z.string() }),
  notLeaderSchema
])
export type ReadIndexReply = z.infer<typeof readIndexReplySchema>
