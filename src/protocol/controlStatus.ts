/**
 * GET /v1/status of a control host: the cluster status with details that only
 * operators of the control hosts need.
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
    /** Last log index that the member has synced to disk. */
    matchIndex: z.int()
  }))
})
export type ControlStatus = z.infer<typeof controlStatusSchema>
