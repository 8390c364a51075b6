/**
 * Runs a completion over as many engines as necessary: when an engine fails,
 * another engine resumes after the tokens received so far. Only tokens that have
 * not been received are generated again.
 */
import type { Dispatcher } from 'undici'
import type { CompletionChunk } from '../../protocol/endpoints.js'
import type { VersionSpan } from '../../protocol/trainers.js'
import { FinishReason } from '../../protocol/endpoints.js'
import { Executed, RefusalReason, RetryReason, type Refusal } from '../../protocol/refusals.js'
import type { Logger } from '../../utils/logger.js'
import { MetricName } from '../../utils/metricNames.js'
import type { Metrics } from '../../utils/metrics.js'
import type { Progress } from '../../utils/progress.js'
import type { RandomSource } from '../../utils/randomSource.js'
import { EntryEvent } from '../entryEvents.js'
import type { RequestJournal } from '../http/requestJournal.js'
import type { Assignment, AttemptResult, Scheduler } from '../scheduling/scheduler.js'
import { ChunkAssembler } from './chunkAssembler.js'
import type { CompletionOutcome, CompletionRunner, CompletionTask, TokenSink } from './completionRunner.js'
import { ReadDecision, streamFromEngine, type AttemptOutcome } from './engineStream.js'

/**
 * Receives chunks with new tokens in order, without gaps or duplicates. Chunks
 * that arrive together are passed together. Returning false ends the run.
 */
export type OrderedChunkSink = (chunks: CompletionChunk[]) => Promise<boolean> | boolean

export interface EngineCompletionsOptions {
  scheduler: Scheduler
  dispatcher: Dispatcher
  random: RandomSource
  metrics: Metrics
  logger: Logger
  journal: RequestJournal
  engineSilenceMs: number
  /** Returns the paid weight of a priority class, which is sent to engines as the priority. */
  paidWeightOf: (priorityClass: string) => number | undefined
}

interface Run {
  task: CompletionTask
  progress: Progress
  sink: OrderedChunkSink
  assembly: ChunkAssembler
  excludedEndpointIds: string[]
  /** Whether an engine may have run a part of the completion. */
  mayHaveRun: boolean
  /** Whether the sink returned false. */
  isStoppedBySink: boolean
  /** When the current attempt produced its first token; undefined before that. */
  firstTokenAtMs: number | undefined
}

/** Returns the weight version that the engine reports for the tokens of a chunk. */
function spanOf ({ token_offset: fromToken, tokens, weight_version: weightVersion, engine_id: engineId, engine_incarnation: engineIncarnation }: CompletionChunk): VersionSpan {
  return { fromToken, toToken: fromToken + tokens.length, weightVersion, engineId, engineIncarnation }
}

type NextStep = { kind: 'again' } | { kind: 'over', outcome: CompletionOutcome }

export class EngineCompletions implements CompletionRunner {
  private readonly _options: EngineCompletionsOptions

  constructor (options: EngineCompletionsOptions) {
    this._options = options
  }

  async run (task: CompletionTask, progress: Progress, onTokens: TokenSink): Promise<CompletionOutcome> {
    return await this.runChunks(task, progress, async chunks => {
      const withTokens = chunks.filter(chunk => chunk.tokens.length > 0)
      if (withTokens.length > 0) await onTokens(withTokens.flatMap(chunk => chunk.tokens), withTokens.map(spanOf))
      return true
    })
  }

  /** Like `run`, but passes complete chunks to the sink, which can end the run. */
  async runChunks (task: CompletionTask, progress: Progress, sink: OrderedChunkSink): Promise<CompletionOutcome> {
    const run: Run = {
      task,
      progress,
      sink,
      assembly: new ChunkAssembler(task.resumeTokens, task.resumeVersions),
      excludedEndpointIds: [...task.item.excludedEndpointIds],
      mayHaveRun: false,
      isStoppedBySink: false,
      firstTokenAtMs: undefined
    }
    for (;;) {
      if (run.assembly.tokens.length >= task.maxTokensCount) return complete(run, FinishReason.Length)
      const step = await this._attempt(run)
      if (step.kind === 'over') return step.outcome
    }
  }

  private async _attempt (run: Run): Promise<NextStep> {
    const { task, progress, excludedEndpointIds } = run
    const assigned = await this._options.scheduler.assign({ ...task.item, excludedEndpointIds }, progress)
    if (assigned.kind === 'refused') {
      const { reason, message, retryAfterMs } = assigned
      return finished(refused(run, { reason, message, retryAfterMs, executed: executedOf(run) }))
    }
    const { assignment } = assigned
    const startedAtMs = progress.clock.nowMs()
    run.firstTokenAtMs = undefined
    const previousTokensCount = run.assembly.tokens.length
    let result: AttemptResult = { kind: 'cancelled' }
    try {
      const outcome = await this._stream(run, assignment)
      const tokensCount = run.assembly.tokens.length - previousTokensCount
      result = attemptResult(run, outcome, tokensCount, startedAtMs)
      return this._nextStep(run, assignment, outcome)
    } finally {
      assignment.finish(result)
    }
  }

  private async _stream (run: Run, { endpoint }: Assignment): Promise<AttemptOutcome> {
    const { task, progress, assembly } = run
    const { url, endpointId } = endpoint.announcement
    const attemptId = this._options.random.id()
    if (task.requestId !== undefined) this._options.journal.addAttempt(attemptId, task.requestId)
    progress.log(`attempt ${attemptId} at ${endpointId}${assembly.tokens.length > 0 ? `, resuming after ${assembly.tokens.length} tokens` : ''}`)
    assembly.startAttempt()
    const body = {
      model: task.model,
      prompt: task.prompt,
      max_tokens: task.maxTokensCount,
      stream: true,
      request_id: attemptId,
      priority: this._options.paidWeightOf(task.item.priorityClass),
      seed: task.seed,
      ...(assembly.tokens.length > 0 ? { resume_tokens: assembly.tokens } : {})
    }
    const call = { url: `${url}/v1/completions`, body, engineSilenceMs: this._options.engineSilenceMs }
    return await streamFromEngine(this._options.dispatcher, call, progress, chunks => this._onChunks(run, attemptId, endpointId, chunks))
  }

  private async _onChunks (run: Run, attemptId: string, endpointId: string, chunks: CompletionChunk[]): Promise<ReadDecision> {
    const newChunks: CompletionChunk[] = []
    let gapTooLarge = false
    for (const chunk of chunks) {
      if (chunk.id !== attemptId) {
        this._dropForeignChunk(chunk, attemptId, endpointId)
        continue
      }
      run.mayHaveRun = true
      const accepted = run.assembly.accept(chunk)
      if (accepted.kind === 'accepted') newChunks.push(...accepted.chunks)
      else gapTooLarge = true
    }
    if (newChunks.length > 0) run.firstTokenAtMs ??= run.progress.clock.nowMs()
    if (newChunks.length > 0 && !await this._deliver(run, newChunks)) return ReadDecision.Stop
    if (run.assembly.finishReason !== undefined) return ReadDecision.Complete
    return gapTooLarge ? ReadDecision.Stop : ReadDecision.Continue
  }

  private async _deliver (run: Run, newChunks: CompletionChunk[]): Promise<boolean> {
    const tokensCount = newChunks.reduce((sum, chunk) => sum + chunk.tokens.length, 0)
    this._options.metrics.count(MetricName.TokensStreamed, {}, tokensCount)
    if (await run.sink(newChunks)) return true
    run.isStoppedBySink = true
    return false
  }

  private _dropForeignChunk (chunk: CompletionChunk, attemptId: string, endpointId: string): void {
    const { metrics, logger } = this._options
    metrics.count(MetricName.TokensDiscarded, { reason: 'foreign_id' }, chunk.tokens.length)
    logger.event(EntryEvent.ForeignChunkDropped, { attemptId, foreignId: chunk.id, endpointId })
  }

  private _nextStep (run: Run, { endpoint }: Assignment, outcome: AttemptOutcome): NextStep {
    const { assembly, progress } = run
    if (run.isStoppedBySink) return finished(refused(run, { reason: RefusalReason.AnswerLost, executed: Executed.Unknown, message: 'the caller stopped reading the response' }))
    if (assembly.finishReason !== undefined) return finished(complete(run, assembly.finishReason))
    switch (outcome.kind) {
      case 'ended':
        return this._retry(run, endpoint.announcement.endpointId, RetryReason.ConnectionLost, 'the stream ended before the answer was complete')
      case 'failed':
        run.mayHaveRun ||= outcome.reason === RetryReason.ConnectionLost
        return this._retry(run, endpoint.announcement.endpointId, outcome.reason, outcome.message)
      case 'rejected':
        return finished(refused(run, { reason: RefusalReason.EndpointRefused, executed: executedOf(run), message: outcome.message }))
      case 'deadlinePassed':
        run.mayHaveRun = true
        progress.log('the deadline passed')
        return finished(refused(run, { reason: RefusalReason.DeadlinePassed, executed: Executed.Unknown, message: 'the deadline passed before the answer was complete' }))
    }
  }

  private _retry (run: Run, endpointId: string, cause: RetryReason, message: string): NextStep {
    const { task, assembly, progress } = run
    const resumes = assembly.tokens.length > 0
    const reason = resumes && cause !== RetryReason.EndpointRefused ? RetryReason.StreamResumed : cause
    progress.log(`${endpointId} failed: ${message}`)
    run.excludedEndpointIds.push(endpointId)
    if (!this._options.scheduler.takeRetry(task.item.pool, reason)) {
      return finished(refused(run, { reason: RefusalReason.RetryBudgetSpent, executed: executedOf(run), message: `the endpoint failed and the retry budget is spent: ${message}` }))
    }
    if (resumes) this._options.logger.event(EntryEvent.StreamResumed, { endpointId, tokensCount: assembly.tokens.length, reason: message })
    return { kind: 'again' }
  }
}

function executedOf (run: Run): Executed {
  return run.mayHaveRun ? Executed.Unknown : Executed.No
}

function finished (outcome: CompletionOutcome): NextStep {
  return { kind: 'over', outcome }
}

function complete ({ assembly }: Run, finishReason: FinishReason): CompletionOutcome {
  return { kind: 'complete', completion: { tokens: assembly.tokens, versions: assembly.versions }, finishReason }
}

function refused ({ assembly, progress }: Run, refusal: Refusal): CompletionOutcome {
  const partial = { tokens: assembly.tokens, versions: assembly.versions }
  return { kind: 'refused', refusal: { ...refusal, callLog: [...progress.callLog] }, partial }
}

function attemptResult (run: Run, outcome: AttemptOutcome, tokensCount: number, startedAtMs: number): AttemptResult {
  const durationMs = run.progress.clock.nowMs() - startedAtMs
  const firstTokenMs = run.firstTokenAtMs === undefined ? undefined : run.firstTokenAtMs - startedAtMs
  if (run.assembly.finishReason !== undefined) return { kind: 'succeeded', tokensCount, durationMs, firstTokenMs }
  if (run.isStoppedBySink) return { kind: 'cancelled' }
  switch (outcome.kind) {
    case 'ended': return { kind: 'failed' }
    case 'failed': return outcome.reason === RetryReason.EndpointRefused ? { kind: 'refused' } : { kind: 'failed' }
    case 'rejected': return { kind: 'succeeded', tokensCount, durationMs }
    case 'deadlinePassed': return { kind: 'cancelled' }
  }
}
