/**
 * The contract of whoever runs one completion to its end, over as many
 * engines as it takes: used for callers' streams and for samples.
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
  /** The caller's request, for `threaddrum explain`. */
  requestId?: string
  /** Tokens of an earlier try, with the versions that made them. */
  resumeTokens?: string[]
  resumeVersions?: VersionSpan[]
}

/**
 * Called for each run of new tokens in order, without gap or repeat; waits for
 * a slow reader. The versions are those of these tokens, by absolute index.
 */
export type TokenSink = (tokens: string[], versions?: VersionSpan[]) => Promise<void> | void

export interface PartialCompletion {
  tokens: string[]
  /** As the engines themselves reported them; adjacent equal spans are merged. */
  versions: VersionSpan[]
}

export type CompletionOutcome =
  | { kind: 'complete', completion: PartialCompletion, finishReason: FinishReason }
  | { kind: 'refused', refusal: Refusal, partial: PartialCompletion }

export interface CompletionRunner {
  run (task: CompletionTask, progress: Progress, onTokens: TokenSink): Promise<CompletionOutcome>
}
