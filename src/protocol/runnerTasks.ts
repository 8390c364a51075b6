/**
 * Messages between the leader of the batch store and the store hosts that run items
 * for it. The leader decides which item runs at which engine; the runner reads the
 * output, checks it, calls the reward service, and reports. Everything belongs to a
 * term of the leader: a runner drops the tasks of earlier terms.
 */
import { z } from 'zod'
import { outputPartSchema, rewardCallSchema } from './batches.js'
import { fleetEndpointSchema } from './fleet.js'

/** One run of an item at one engine. */
const itemRunRequestSchema = z.object({
  endpoint: fleetEndpointSchema,
  path: z.string(),
  host: z.string(),
  /** Alternating names and values. */
  headers: z.array(z.string()),
  body: z.instanceof(Uint8Array),
  itemId: z.string(),
  /** The client account that owns the batch. */
  account: z.string().optional(),
  /** Id of the last event that the leader holds; the run continues after it. */
  afterEventId: z.int().min(0),
  /** The oldest weight version allowed to generate events. */
  minVersion: z.int(),
  /** The only version allowed, if the output has events and all must be of one version. */
  onlyVersion: z.int().optional(),
  /** All events must be of one version. */
  isSingleVersion: z.boolean()
})
export type ItemRunRequest = z.infer<typeof itemRunRequestSchema>

/** How an engine ended a run. */
const engineOutcomeSchemas = [
  /** The output is complete. */
  z.object({ kind: z.literal('finished') }),
  z.object({ kind: z.literal('notExecuted'), status: z.int() }),
  z.object({ kind: z.literal('misdirected') }),
  z.object({ kind: z.literal('unreached'), reason: z.string(), isRefused: z.boolean().optional(), isUnsendable: z.boolean().optional() }),
  z.object({ kind: z.literal('failed'), status: z.int() }),
  z.object({ kind: z.literal('impossible') }),
  z.object({ kind: z.literal('broken'), reason: z.string(), isConnectionLost: z.boolean().optional(), isOutOfTime: z.boolean().optional() })
] as const

/** Why a store host ended a run. */
const hostOutcomeSchemas = [
  /** The leader stopped the run, so that the item continues at another engine. */
  z.object({ kind: z.literal('moved') }),
  /** The engine accepted the run but sent no event, so it is unknown whether the run started. */
  z.object({ kind: z.literal('notBegun'), reason: z.string() }),
  /** The engine generated an event with weights that are too old. */
  z.object({ kind: z.literal('staleVersion'), version: z.int(), reason: z.string() }),
  /** The version changed during an output that allows a single version. */
  z.object({ kind: z.literal('mixedVersions'), reason: z.string() }),
  /** The host that ran the item stopped or was lost; the engine is not at fault. */
  z.object({ kind: z.literal('interrupted'), reason: z.string() })
] as const

export type HostOutcome = z.infer<typeof hostOutcomeSchemas[number]>

/** How a run of an item at an engine ended. */
const runOutcomeSchema = z.discriminatedUnion('kind', [...engineOutcomeSchemas, ...hostOutcomeSchemas])
export type RunOutcome = z.infer<typeof runOutcomeSchema>

const HOST_OUTCOME_KINDS: ReadonlySet<string> = new Set(hostOutcomeSchemas.map(({ shape }) => shape.kind.value))

/** Whether a store host ended the run, as opposed to its engine. */
export function isEndedByHost (outcome: RunOutcome): outcome is HostOutcome {
  return HOST_OUTCOME_KINDS.has(outcome.kind)
}

/** What a run received from its engine since the last progress report. */
const runProgressSchema = z.object({
  /** Id of the last event received. */
  lastEventId: z.int().min(0),
  /** When the last event was received, by the clock of the host that runs the item; absent from hosts that do not report it. */
  lastEventAtMs: z.number().optional(),
  /** Times between two consecutive events. */
  gapsMs: z.array(z.number()),
  /** Events that are complete enough to be stored, with the id of the event that they follow. */
  parts: z.array(z.object({ afterEventId: z.int().min(0), part: outputPartSchema }))
})
export type RunProgress = z.infer<typeof runProgressSchema>

const rewardScoreSchema = z.discriminatedUnion('kind', [
  /** The receipt of the endpoint that scored the sample. */
  z.object({ kind: z.literal('scored'), receipt: z.string() }),
  /** No further attempt is allowed. */
  z.object({ kind: z.literal('lost') }),
  /** The host that made the call stopped or was lost. */
  z.object({ kind: z.literal('interrupted'), reason: z.string() })
])
export type RewardScore = z.infer<typeof rewardScoreSchema>

/** Numbers a task among all tasks of a term. */
const taskId = z.int().min(1)
/** Time until the item may be abandoned. */
const abandonInMs = z.number().min(0)

export const runnerTaskSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('run'), taskId, abandonInMs, request: itemRunRequestSchema }),
  z.object({ kind: z.literal('score'), taskId, abandonInMs, reward: rewardCallSchema }),
  /** Ends a run and returns all events that it has received. */
  z.object({ kind: z.literal('stop'), taskId }),
  /** Ends a task whose result is of no use any more. */
  z.object({ kind: z.literal('cancel'), taskId })
])
export type RunnerTask = z.infer<typeof runnerTaskSchema>

export const taskReportSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('progress'), taskId, progress: runProgressSchema }),
  z.object({ kind: z.literal('ran'), taskId, outcome: runOutcomeSchema }),
  z.object({ kind: z.literal('scored'), taskId, score: rewardScoreSchema })
])
export type TaskReport = z.infer<typeof taskReportSchema>
