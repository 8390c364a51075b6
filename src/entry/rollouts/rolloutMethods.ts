/**
 * RPC methods between entry hosts for samples: contents, checkpoints, and
 * notifications that avoid the wait for the next poll of the ledger.
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
/** The stored content of a finished sample. */
export type SampleContent = z.infer<typeof sampleContentSchema>

export const checkpointSchema = slotSchema.extend({
  tokens: z.array(z.string()),
  versions: z.array(versionSpanSchema)
})
/** The first tokens of a running sample, stored so that another host can resume after them. */
export type Checkpoint = z.infer<typeof checkpointSchema>

const acknowledgementSchema = z.object({ ok: z.boolean() })

export const keepSample = rpcMethod('rollouts.keepSample', sampleContentSchema, acknowledgementSchema)

export const fetchSamples = rpcMethod('rollouts.fetchSamples', z.object({ attemptIds: z.array(z.string()) }), z.object({ samples: z.array(sampleContentSchema) }))

export const keepCheckpoint = rpcMethod('rollouts.keepCheckpoint', checkpointSchema, acknowledgementSchema)

export const fetchCheckpoint = rpcMethod('rollouts.fetchCheckpoint', slotSchema, z.object({ checkpoint: checkpointSchema.nullable() }))

/** Notifies a host that a group of the job is complete, because a pull there may be waiting for it. */
export const notifyGroupComplete = rpcMethod('rollouts.groupIsWhole', z.object({ job: z.string() }), acknowledgementSchema)

/** Notifies a host that slots of the job may be waiting to be leased. */
export const notifySlotsWaiting = rpcMethod('rollouts.slotsAreWaiting', z.object({ job: z.string() }), acknowledgementSchema)
