/**
 * What hosts tell of the use that client accounts made of the endpoints, and
 * the commands by which the log of the control hosts holds it.
 */
import { z } from 'zod'

export const usageWindowSchema = z.object({
  /** Counted from the start of 1970. */
  windowId: z.int(),
  /** Requests that began, by client account. */
  counts: z.record(z.string(), z.int())
})

export const usageReportSchema = z.object({
  /** New with every start of the host's process. */
  incarnation: z.string(),
  /** No window before this one gets any further counts from this host. */
  settledBefore: z.int(),
  /** Sums since the start of the process; only windows that changed since the last call that was answered. */
  windows: z.array(usageWindowSchema)
})
export type UsageReport = z.infer<typeof usageReportSchema>

export enum UsageCommandKind {
  Claim = 'usage.claim',
  Close = 'usage.close',
  Reported = 'usage.reported'
}

export const usageCommandSchema = z.discriminatedUnion('kind', [
  /** A host takes the duty over. */
  z.object({ kind: z.literal(UsageCommandKind.Claim), holder: z.string() }),
  /** What is reported of a window from now on, by whoever reports it. */
  z.object({ kind: z.literal(UsageCommandKind.Close), windowId: z.int(), counts: z.record(z.string(), z.int()) }),
  /** The infrastructure has the window. */
  z.object({ kind: z.literal(UsageCommandKind.Reported), windowId: z.int() })
])
export type UsageCommand = z.infer<typeof usageCommandSchema>

export const usageResultSchema = z.object({ kind: z.literal('usageHeld') })
export type UsageResult = z.infer<typeof usageResultSchema>
