/**
 * GET /v1/status of a control host, with what only operators of the control
 * hosts themselves want to know.
 */
import { z } from 'zod'
import { clusterStatusSchema, memberStatusSchema } from './operators.js'

export const controlStatusSchema = clusterStatusSchema.extend({
  commitIndex: z.int(),
  members: z.array(memberStatusSchema.extend({
    replicaId: z.string(),
    operatorAddress: z.string(),
    role: z.enum(['voter', 'learner']),
    isLive: z.boolean(),
    /** The member has synced the log up to here. */
    matchIndex: z.int()
  }))
})
export type ControlStatus = z.infer<typeof controlStatusSchema>
