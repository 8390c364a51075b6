/**
 * Linearizable reads of the replicated state.
 */
import { z } from 'zod'
import { rolloutProgressSchema, type RolloutProgress } from './rolloutProgress.js'
import { recordedAnswerSchema, type RecordedAnswer } from './unrepeatableCommands.js'

export enum QueryKind {
  Unrepeatable = 'unrepeatable',
  RolloutProgress = 'rolloutProgress'
}

export const querySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal(QueryKind.Unrepeatable), callerName: z.string(), idempotencyKey: z.string() }),
  z.object({ kind: z.literal(QueryKind.RolloutProgress), job: z.string() })
])
export type Query = z.infer<typeof querySchema>

export const unrepeatableStateSchema = z.discriminatedUnion('kind', [
  /** Never started, or released as "not run". */
  z.object({ kind: z.literal('absent'), generation: z.int().min(0) }),
  z.object({ kind: z.literal('started'), hostId: z.string(), startedAtMs: z.number(), attemptId: z.string() }),
  z.object({ kind: z.literal('answered'), answer: recordedAnswerSchema, requestHash: z.string() })
])
export type UnrepeatableState = z.infer<typeof unrepeatableStateSchema>
export type { RecordedAnswer }

export const queryResultSchemas = {
  [QueryKind.Unrepeatable]: unrepeatableStateSchema,
  [QueryKind.RolloutProgress]: rolloutProgressSchema.nullable()
} as const

export type QueryResult<Q extends Query> =
  Q extends { kind: QueryKind.Unrepeatable } ? UnrepeatableState
    : Q extends { kind: QueryKind.RolloutProgress } ? RolloutProgress | null
      : never
