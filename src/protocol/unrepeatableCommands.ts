/**
 * Commands of the ledger of unrepeatable requests: a request is recorded as
 * `started` on a quorum before its first byte is sent; later its answer is recorded.
 *
 * A key has a generation, which increases whenever an attempt is released as "not
 * run". An attempt starts only in the generation that it read on arrival, so an
 * attempt that was superseded by such a release never runs.
 */
import { z } from 'zod'

export enum UnrepeatableCommandKind {
  Start = 'unrepeatable.start',
  Finish = 'unrepeatable.finish',
  Release = 'unrepeatable.release'
}

/** The answer of an endpoint, recorded for callers that repeat the request. */
export const recordedAnswerSchema = z.object({
  status: z.int(),
  contentType: z.string().optional(),
  body: z.instanceof(Uint8Array),
  /** The answer was received, but its body was too large to record or was evicted. */
  bodyDropped: z.boolean().default(false)
})
export type RecordedAnswer = z.infer<typeof recordedAnswerSchema>

const request = {
  callerName: z.string(),
  idempotencyKey: z.string(),
  /** Distinguishes the attempts with one key; only the attempt that started may finish. */
  attemptId: z.string()
}

export const unrepeatableCommandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(UnrepeatableCommandKind.Start), ...request, requestHash: z.string(), hostId: z.string(), generation: z.int().min(0) }),
  z.object({ kind: z.literal(UnrepeatableCommandKind.Finish), ...request, answer: recordedAnswerSchema }),
  /** This attempt certainly did not and will not run; the key is free again, for later attempts only. */
  z.object({ kind: z.literal(UnrepeatableCommandKind.Release), ...request })
])
export type UnrepeatableCommand = z.infer<typeof unrepeatableCommandSchema>

export const unrepeatableResultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('started') }),
  z.object({ kind: z.literal('alreadyStarted'), hostId: z.string(), startedAtMs: z.number() }),
  z.object({ kind: z.literal('answered'), answer: recordedAnswerSchema }),
  z.object({ kind: z.literal('keyReused') }),
  z.object({ kind: z.literal('finished') }),
  z.object({ kind: z.literal('released') }),
  /** The key was released as "not run" after this attempt had arrived, so the attempt must not run. */
  z.object({ kind: z.literal('superseded') }),
  /** All records are within their retention period; no new request can start. */
  z.object({ kind: z.literal('ledgerFull') }),
  /** The ledger has no such attempt: it expired, or another attempt owns the key. */
  z.object({ kind: z.literal('notOwner') })
])
export type UnrepeatableResult = z.infer<typeof unrepeatableResultSchema>
