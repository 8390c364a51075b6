/**
 * Commands about hosts and fencing numbers.
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
  /** Where callers, trainers and endpoints connect, `ip:port`. */
  callerAddress: z.string(),
  /** Where the system's own processes connect, `ip:port`. */
  peerAddress: z.string(),
  /** Grows with every start of the process. */
  incarnation: z.number()
})
export type EntryHost = z.infer<typeof entryHostSchema>

export const hostCommandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(HostCommandKind.Register), host: entryHostSchema }),
  z.object({ kind: z.literal(HostCommandKind.Remove), hostId: z.string(), incarnation: z.number() }),
  /** Makes the holder the only one whose orders in the scope count. */
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
