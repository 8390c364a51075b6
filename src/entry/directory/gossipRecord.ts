/**
 * What entry hosts tell each other: versioned records of endpoints and of the
 * hosts themselves. A full record carries the content; a load record only the
 * numbers that change all the time, for those who hold the content already.
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
  /** The host takes no new work and is about to stop. */
  stopping: z.boolean(),
  /** It is ready and holds its configuration lease. */
  takesWork: z.boolean()
})
export type HostContent = z.infer<typeof hostContentSchema>

const versionShape = {
  id: z.string(),
  /** Grows with every start of the endpoint or host. */
  incarnation: z.number(),
  /** Grows with every announcement of one incarnation. */
  sequence: z.number(),
  /** The sequence at which the content last changed. */
  contentSequence: z.number(),
  leaseRemainingMs: z.number(),
  loadAgeMs: z.number(),
  load: z.array(z.number())
}

/**
 * An endpoint's record also says whether an operator took it out of service;
 * once said, that holds for the rest of the incarnation, whatever version says
 * otherwise.
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
