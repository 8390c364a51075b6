/**
 * The records that entry hosts exchange: versioned records of endpoints and of
 * the hosts themselves. A full record carries the content. A load record
 * carries only the frequently changing numbers, for hosts that already have
 * the content.
 */
import { z } from 'zod'
import { announcementSchema } from '../../protocol/endpoints.js'

export enum RecordKind {
  Endpoint = 0,
  Host = 1
}

export const hostContentSchema = z.object({
  dataCentre: z.string(),
  callerAddress: z.string(),
  /** Whether the host is stopping and must no longer be advised to callers. */
  stopping: z.boolean(),
  /** Whether the host is ready and holds its configuration lease. */
  takesWork: z.boolean()
})
export type HostContent = z.infer<typeof hostContentSchema>

const versionShape = {
  id: z.string(),
  /** Increases with every start of the endpoint or host. */
  incarnation: z.number(),
  /** Increases with every announcement of one incarnation. */
  sequence: z.number(),
  /** The sequence at which the content last changed. */
  contentSequence: z.number(),
  leaseRemainingMs: z.number(),
  loadAgeMs: z.number(),
  load: z.array(z.number())
}

/**
 * `drained` tells that an operator took the endpoint out of service. Once set,
 * the flag holds for the rest of the incarnation, even if a newer version lacks it.
 */
export const fullRecordSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(RecordKind.Endpoint), ...versionShape, content: announcementSchema, drained: z.boolean() }),
  z.object({ kind: z.literal(RecordKind.Host), ...versionShape, content: hostContentSchema })
])
export type FullRecord = z.infer<typeof fullRecordSchema>

/** Positions: kind, id, incarnation, sequence, contentSequence, leaseRemainingMs, loadAgeMs, load. */
export const loadRecordSchema = z.tuple([
  z.enum(RecordKind), z.string(), z.number(), z.number(), z.number(), z.number(), z.number(), z.array(z.number())
])
export type LoadRecord = z.infer<typeof loadRecordSchema>

/** Positions: kind, id, incarnation, sequence, drained. */
export const versionEntrySchema = z.tuple([z.enum(RecordKind), z.string(), z.number(), z.number(), z.boolean()])
export type VersionEntry = z.infer<typeof versionEntrySchema>

export const recordKeySchema = z.tuple([z.enum(RecordKind), z.string()])
export type RecordKey = z.infer<typeof recordKeySchema>
