/**
 * Messages between entry hosts and the leader of the control hosts, over framed TCP.
 */
import { z } from 'zod'
import { commandResultSchema, commandSchema } from './commands.js'
import { configurationChangeSchema, configurationListingSchema } from './configuration.js'
import { querySchema } from './queries.js'

/** The requested host is not the leader; the address is that of the leader, if known. */
export const notLeaderSchema = z.object({ kind: z.literal('notLeader'), leaderAddress: z.string().optional() })

export const findLeaderReplySchema = z.object({
  isLeader: z.boolean(),
  leaderAddress: z.string().optional(),
  /** All control hosts, for clients whose settings list outdated members. */
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
  /** The client validates the result against the schema of its query. */
  z.object({ kind: z.literal('answered'), result: z.unknown() }),
  z.object({ kind: z.literal('unavailable'), reason: z.string() }),
  notLeaderSchema
])
export type QueryReply = z.infer<typeof queryReplySchema>

export const renewRequestSchema = z.object({
  hostId: z.string(),
  incarnation: z.number(),
  /** Undefined until the host has first contacted a cluster; afterwards it never accepts another cluster's configuration. */
  clusterId: z.string().optional(),
  /** The revision in force on the host. */
  revision: z.int(),
  operatorAddress: z.string().optional()
})
export type RenewRequest = z.infer<typeof renewRequestSchema>

const granted = {
  clusterId: z.string(),
  /** Duration of the lease, from the time at which the request was sent. */
  leaseMs: z.number()
}

export const renewReplySchema = z.discriminatedUnion('kind', [
  /** The changes that bring the host to the committed revision. */
  z.object({ kind: z.literal('renewed'), ...granted, changes: z.array(configurationChangeSchema) }),
  /** The host is too far behind for incremental changes. */
  z.object({ kind: z.literal('listing'), ...granted, listing: configurationListingSchema }),
  /** The host is not or no longer registered; it must register first. */
  z.object({ kind: z.literal('unregistered') }),
  /** A newer incarnation of the same host is registered. */
  z.object({ kind: z.literal('superseded') }),
  /** The host belongs to another cluster, or has a revision that this cluster never reached. */
  z.object({ kind: z.literal('foreign') }),
  z.object({ kind: z.literal('unavailable'), reason: z.string() }),
  notLeaderSchema
])
export type RenewReply = z.infer<typeof renewReplySchema>

/** Pushed after a commit to every host that holds a lease. */
export const changesNotificationSchema = z.object({
  clusterId: z.string(),
  changes: z.array(configurationChangeSchema)
})
export type ChangesNotification = z.infer<typeof changesNotificationSchema>

export const readIndexReplySchema = z.discriminatedUnion('kind', [
  /** A replica that has applied the log up to this index serves current reads. */
  z.object({ kind: z.literal('confirmed'), index: z.int() }),
  z.object({ kind: z.literal('unavailable'), reason: z.string() }),
  notLeaderSchema
])
export type ReadIndexReply = z.infer<typeof readIndexReplySchema>
