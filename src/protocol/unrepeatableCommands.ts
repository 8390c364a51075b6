/**
 * Commands of the ledger of unrepeatable requests: a request is `started` on
 * a quorum before its first byte leaves, and its answer is recorded.
 *
 * A key has a generation, which grows whenever a try of it is given up as "not
 * run". A try starts only in the generation that it saw when it arrived, so a
 * try that was overtaken by such a refusal never runs.
 */
import { z } from 'zod'

export enum UnrepeatableCommandKind {
  Start = 'unrepeatable.start',
  Finish = 'unrepeatable.finish',
  Release = 'unrepeatable.release'
}

/** The answer of an endpoint, kept for callers who ask again. */
export const recordedAnswerSchema = z.object({
  status: z.int(),
  contentType: z.string().optional(),
  body: z.instanceof(Uint8Array),
  /** The answer came, but its body was too large to keep or made room for others. */
  bodyDropped: z.boolean().default(false)
})
export type RecordedAnswer = z.infer<typeof recordedAnswerSchema>

const request = {
  callerName: z.string(),
  idempotencyKey: z.string(),
  /** Distinguishes the tries of one key; only the try that started may finish. */
  attemptId: z.string()
}

export const unrepeatableCommandSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(UnrepeatableCommandKind.Start), ...request, requestHash: z.string(), hostId: z.string(), generation: z.int().min(0) }),
  z.object({ kind: z.literal(UnrepeatableCommandKind.Finish), ...request, answer: recordedAnswerSchema }),
  /** It is certain that this try did not and will not run: the key is free again, for later tries only. */
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
  /** The key was given up as "not run" after this try had arrived: it must not run. */
  z.object({ kind: z.literal('superseded') }),
  /** Every record is still within its retention: nothing new can be started. */
  z.object({ kind: z.literal('ledgerFull') }),
  /** The ledger holds no such try: it expired, or another try owns the key. */
  z.object({ kind: z.literal('notOwner') })
])
export type UnrepeatableResult = z.infer<typeof unrepeatableResultSchema>
