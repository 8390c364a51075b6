/**
 * The answer of GET /v1/status on a control host.
 */
import { z } from 'zod'

export const controlStatusSchema = z.object({
  leaderHostId: z.string(),
  term: z.int(),
  /** Revision of the accepted configuration. */
  revision: z.int(),
  commitIndex: z.int(),
  members: z.array(z.object({
    replicaId: z.string(),
    hostId: z.string(),
    peerAddress: z.string(),
    operatorAddress: z.string(),
    role: z.enum(['voter', 'learner']),
    isLive: z.boolean(),
    matchIndex: z.int()
  })),
  entryHosts: z.array(z.object({
    hostId: z.string(),
    dataCentre: z.string(),
    callerAddress: z.string(),
    operatorAddress: z.string().optional(),
    /** What the host had in force when it last renewed its lease. */
    revisionInForce: z.int(),
    /** False when the host has to have stopped taking new work. */
    holdsLease: z.boolean()
  }))
})
export type ControlStatus = z.infer<typeof controlStatusSchema>
