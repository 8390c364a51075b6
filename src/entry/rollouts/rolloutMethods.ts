/**
 * Calls between entry hosts about samples: contents, checkpoints, and hints
 * that spare waiting for the next look at the ledger.
 */
import { z } from 'zod'
import { slotSchema } from '../../protocol/rolloutCommands.js'
import { versionSpanSchema } from '../../protocol/trainers.js'
import { rpcMethod } from '../../transport/rpcPeer.js'

export const sampleContentSchema = slotSchema.extend({
  attemptId: z.string(),
  prompt: z.string(),
  tokens: z.array(z.string()),
  versions: z.array(versionSpanSchema),
  score: z.number().nullable()
})
/** What a host keeps of a finished sample. */
export type SampleContent = z.infer<typeof sampleContentSchema>

export const checkpointSchema = slotSchema.extend({
  tokens: z.array(z.string()),
  versions: z.array(versionSpanSchema)
})
/** The beginning of a sample, kept so that another host can go on behind it. */
export type Checkpoint = z.infer<typeof checkpointSchema>

const acknowledgementSchema = z.object({ ok: z.boolean() })

export const keepSample = rpcMethod('rollouts.keepSample', sampleContentSchema, acknowledgementSchema)

export const fetchSamples = rpcMethod('rollouts.fetchSamples', z.object({ attemptIds: z.array(z.string()) }), z.object({ samples: z.array(sampleContentSchema) }))

export const keepCheckpoint = rpcMethod('rollouts.keepCheckpoint', checkpointSchema, acknowledgementSchema)

export const fetchCheckpoint = rpcMethod('rollouts.fetchCheckpoint', slotSchema, z.object({ checkpoint: checkpointSchema.nullable() }))

/** A group of the job is whole; the host's trainer may be waiting for it. */
export const groupIsWhole = rpcMethod('rollouts.groupIsWhole', z.object({ job: z.string() }), acknowledgementSchema)

/** Slots may be waiting for a host. */
export const slotsAreWaiting = rpcMethod('rollouts.slotsAreWaiting', z.object({ job: z.string() }), acknowledgementSchema)
