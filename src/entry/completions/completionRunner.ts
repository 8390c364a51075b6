/**
 * The interface for running one completion to its end, over as many engines
 * as necessary. Used for completions of callers and for rollout samples.
 */
import type { FinishReason } from '../../protocol/endpoints.js'
import type { Refusal } from '../../protocol/refusals.js'
import type { VersionSpan } from '../../protocol/trainers.js'
import type { Progress } from '../../utils/progress.js'
import type { WorkItem } from '../scheduling/scheduler.js'

export interface CompletionTask {
  item: WorkItem
  model: string
  prompt: string
  maxTokensCount: number
  seed?: number
  /** Id of the caller's request, for `threaddrum explain`. */
  requestId?: string
  /** Tokens of earlier attempts; `resumeVersions` gives the weight versions that produced them. */
  resumeTokens?: string[]
  resumeVersions?: VersionSpan[]
}

/**
 * Receives new tokens in order, without gaps or duplicates; the returned
 * promise delays further tokens while the reader is slow. `versions` cover
 * these tokens, by absolute token index.
 */
export type TokenSink = (tokens: string[], versions?: VersionSpan[]) => Promise<void> | void

export interface PartialCompletion {
  tokens: string[]
  /** Weight versions as reported by the engines; adjacent equal spans are merged. */
  versions: VersionSpan[]
}

export type CompletionOutcome =
  | { kind: 'complete', completion: PartialCompletion, finishReason: FinishReason }
  | { kind: 'refused', refusal: Refusal, partial: PartialCompletion }

export interface CompletionRunner {
  run (task: CompletionTask, progress: Progress, onTokens: TokenSink): Promise<CompletionOutcome>
}
