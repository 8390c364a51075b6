/**
 * Reports of hosts on the usage of endpoints by client accounts, and the commands
 * that record it in the log of the control hosts.
 */
import { z } from 'zod'

export const usageWindowSchema = z.object({
  /** Number of the time window, counted from the start of 1970. */
  windowId: z.int(),
  /** Number of started requests, by client account. */
  counts: z.record(z.string(), z.int())
})

export const usageReportSchema = z.object({
  /** New with every start of the host's process. */
  incarnation: z.string(),
  /** The counts of all windows before this one are final on this host. */
  settledBefore: z.int(),
  /** Totals since the start of the process; only windows that changed since the last answered call. */
  windows: z.array(usageWindowSchema)
})
export type UsageReport = z.infer<typeof usageReportSchema>

export enum UsageCommandKind {
  Claim = 'usage.claim',
  Close = 'usage.close',
  Reported = 'usage.reported'
}

export const usageCommandSchema = z.discriminatedUnion('kind', [
  /** A host takes over the duty of reporting usage. */
  z.object({ kind: z.literal(UsageCommandKind.Claim), holder: z.string() }),
  /** Fixes the counts of a window; whichever host reports the window uses them. */
  z.object({ kind: z.literal(UsageCommandKind.Close), windowId: z.int(), counts: z.record(z.string(), z.int()) }),
  /** The infrastructure has received the window. */
  z.object({ kind: z.literal(UsageCommandKind.Reported), windowId: z.int() })
])
export type UsageCommand = z.infer<typeof usageCommandSchema>

export const usageResultSchema = z.object({ kind: z.literal('usageHeld') })
export type UsageResult = z.infer<typeof usageResultSchema>
