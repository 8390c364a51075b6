/**
 * Infrequent calls between control hosts, through tRPC on the operator address:
 * joining, membership and status.
 * Frequent calls use framed TCP instead (docs/design/wire.md).
 */
import { initTRPC } from '@trpc/server'
import { z } from 'zod'
import type { Clock } from '../../utils/clock.js'
import { Progress } from '../../utils/progress.js'
import type { Scope } from '../../utils/scope.js'
import type { ControlNode } from '../controlNode.js'
import { controlStatus } from './controlStatus.js'

export interface AdminContext {
  node: ControlNode
  clock: Clock
  scope: Scope
}

const { router, procedure } = initTRPC.context<AdminContext>().create()

const MAX_WAIT_MS = 30_000
const remainingMsSchema = z.number().min(0).max(MAX_WAIT_MS)
const newcomerSchema = z.object({ replicaId: z.string(), hostId: z.string(), peerAddress: z.string(), operatorAddress: z.string() })

function progressOf ({ clock, scope }: AdminContext, remainingMs: number): Progress {
  return new Progress(clock, scope, clock.nowMs() + remainingMs)
}

export const adminRouter = router({
  /** Admits a new replica as a learner. */
  join: procedure.input(newcomerSchema).mutation(({ ctx, input }) => ctx.node.replica.join(input)),

  /** Removes a control host from the members. */
  removeMember: procedure.input(z.object({ hostId: z.string() })).mutation(({ ctx, input }) => ctx.node.replica.remove(input.hostId)),

  /** The status of members and entry hosts, which only the leader knows. */
  status: procedure
    .input(z.object({ remainingMs: remainingMsSchema }))
    .query(({ ctx, input }) => controlStatus(ctx.node, progressOf(ctx, input.remainingMs)))
})

export type AdminRouter = typeof adminRouter
