/**
 * Commands that register and remove entry hosts and issue fencing numbers.
 */
import { z } from 'zod'

export enum HostCommandKind {
  Register = 'host.register',
  Remove = 'host.remove',
  AcquireFence = 'fence.acquire'
}

export const entryHostSchema = z.object({
  hostId: z.string(),
  dataCentre: z.string(),
  /** The address for callers, trainers and endpoints, `ip:port`. */
  callerAddress: z.string(),
  /** The address for the system's own processes, `ip:port`. */
  peerAddress: z.string(),
  /** Increases with every start of the process. */
  incarnation: z.number()
})
export type EntryHost = z.infer<typeof entryHostSchema>

export const hostCommandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(HostCommandKind.Register), host: entryHostSchema }),
  z.object({ kind: z.literal(HostCommandKind.Remove), hostId: z.string(), incarnation: z.number() }),
  /** Issues a new fencing number, which invalidates orders sent under earlier numbers in the scope. */
  z.object({ kind: z.literal(HostCommandKind.AcquireFence), fenceScope: z.string(), holder: z.string() })
])
export type HostCommand = z.infer<typeof hostCommandSchema>

export const hostResultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('registered'), revision: z.int() }),
  z.object({ kind: z.literal('olderIncarnation') }),
  z.object({ kind: z.literal('removed') }),
  z.object({ kind: z.literal('fenced'), fencingNumber: z.int(), previousHolder: z.string().optional(), previousAcquiredAtMs: z.number().optional() })
])
export type HostResult = z.infer<typeof hostResultSchema>
