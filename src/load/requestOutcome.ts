/**
 * How requests end, as their caller sees it.
 */
import type { Refusal } from '../protocol/refusals.js'
import type { Workload } from './experiment.js'

/** Promises that the caller of a request can check by itself. */
export enum InvariantKind {
  /** The answer has a gap, a repeat, or no end. */
  PartialAnswer = 'partial_answer',
  /** The answer belongs to another request. */
  CrossedAnswer = 'crossed_answer',
  /** Said "not run", and the service's own record has it. */
  FalseNotRun = 'false_not_run',
  /** A request with an Idempotency-Key is in the service's record more than once. */
  RanTwice = 'ran_twice',
  /** Answered in full, and the service's record does not have it. */
  NeverRan = 'never_ran',
  /** A refusal that does not follow the schema. */
  MalformedRefusal = 'malformed_refusal'
}

export interface PlannedRequest {
  /** Unique within the run; part of the path or prompt, so that answers can be told apart. */
  tag: string
  workload: Workload
  caller: string
  /** Instant of the monotonic clock at which it was due. */
  intendedAtMs: number
  deadlineMs: number
}

/** How one try ended. */
export type TryOutcome =
  | { kind: 'whole', tokensCount: number, firstByteAtMs: number }
  | { kind: 'refused', refusal: Refusal }
  /** Nothing is known of what became of it. */
  | { kind: 'lost', reason: string }
  | { kind: 'broken', invariant: InvariantKind, message: string }

export interface RequestOutcome {
  planned: PlannedRequest
  /** Of the last try. */
  last: TryOutcome
  triesCount: number
  endedAtMs: number
  /** True when every try was refused with `executed: no`. */
  saidNotRun: boolean
}
