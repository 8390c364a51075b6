/**
 * Outcomes of requests, as seen by their caller.
 */
import type { Refusal } from '../protocol/refusals.js'
import type { Workload } from './experiment.js'

/** Invariants that are checked on answers, refusals and execution records. */
export enum InvariantKind {
  /** The answer has a gap or a repeat, or is truncated. */
  PartialAnswer = 'partial_answer',
  /** The answer belongs to another request. */
  CrossedAnswer = 'crossed_answer',
  /** The request was refused as not executed, but the execution record contains the request. */
  FalseNotRun = 'false_not_run',
  /** A request with an Idempotency-Key was executed more than once. */
  RanTwice = 'ran_twice',
  /** The request was answered completely, but the execution record does not contain the request. */
  NeverRan = 'never_ran',
  /** A refusal that does not follow the schema. */
  MalformedRefusal = 'malformed_refusal'
}

export interface PlannedRequest {
  /** Unique within the run; part of the path or prompt, so that answers can be matched to requests. */
  tag: string
  workload: Workload
  caller: string
  /** Time of the monotonic clock at which the request was due. */
  intendedAtMs: number
  deadlineMs: number
}

/** Outcome of one attempt. */
export type AttemptOutcome =
  | { kind: 'whole', tokensCount: number, firstByteAtMs: number }
  | { kind: 'refused', refusal: Refusal }
  /** The connection failed, so it is unknown whether the request was executed. */
  | { kind: 'lost', reason: string }
  | { kind: 'broken', invariant: InvariantKind, message: string }

export interface RequestOutcome {
  planned: PlannedRequest
  /** Outcome of the last attempt. */
  last: AttemptOutcome
  triesCount: number
  endedAtMs: number
  /** True if every attempt was refused with `executed: no`. */
  isRefusedAsNotExecuted: boolean
}
