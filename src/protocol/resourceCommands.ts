/**
 * Commands on resources and their results, as recorded in the replicated log.
 */
import { z } from 'zod'
import { ResourceKind, resourceNameSchema, resourceSchema } from './resources.js'

export enum ResourceCommandKind {
  Apply = 'resource.apply',
  Delete = 'resource.delete'
}

const target = {
  /** Chosen by the operator's client; a resent change returns its first result. */
  changeId: z.string().min(1).max(128),
  resourceKind: z.enum(ResourceKind),
  name: resourceNameSchema,
  /** Revision that the operator last read; 0 requires that the resource does not exist; undefined changes any revision. */
  expectedRevision: z.int().min(0).optional()
}

export const resourceCommandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(ResourceCommandKind.Apply), ...target, spec: z.unknown() }),
  z.object({ kind: z.literal(ResourceCommandKind.Delete), ...target })
])
export type ResourceCommand = z.infer<typeof resourceCommandSchema>

export const resourceResultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('applied'), revision: z.int(), resource: resourceSchema }),
  z.object({ kind: z.literal('deleted'), revision: z.int() }),
  z.object({ kind: z.literal('conflict'), currentRevision: z.int() }),
  z.object({ kind: z.literal('invalid'), field: z.string(), message: z.string() })
])
export type ResourceResult = z.infer<typeof resourceResultSchema>

/** One change of the configuration, as watches report it. */
export const resourceEventSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('put'), revision: z.int(), resource: resourceSchema }),
  z.object({ kind: z.literal('deleted'), revision: z.int(), resourceKind: z.enum(ResourceKind), name: z.string() })
])
export type ResourceEvent = z.infer<typeof resourceEventSchema>
