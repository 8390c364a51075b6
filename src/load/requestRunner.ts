/**
 * Runs one request to its final outcome: gets advice, sends, checks the answer,
 * and retries after refusals (at the time and on the hosts that they name) until
 * the caller's deadline or the last attempt.
 */
import { request, type Dispatcher } from 'undici'
import { Executed, refusalSchema, type Refusal } from '../protocol/refusals.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Scope } from '../utils/scope.js'
import type { AdviceCache } from './adviceCache.js'
import { checkServiceAnswer, checkUnstreamedCompletion, parseJson, StreamCheck } from './answerCheck.js'
import { WorkloadKind, type Workload } from './experiment.js'
import { buildHttpRequest } from './httpRequest.js'
import { InvariantKind, type PlannedRequest, type RequestOutcome, type AttemptOutcome } from './requestOutcome.js'

const FIRST_ERROR_STATUS = 400
/** Delay before the next attempt after the previous one was lost. */
const LOST_RETRY_DELAY_MS = 50

export interface RequestRunnerOptions {
  clock: Clock
  dispatcher: Dispatcher
  adviceCache: AdviceCache
}

export class RequestRunner {
  private readonly _options: RequestRunnerOptions

  constructor (options: RequestRunnerOptions) {
    this._options = options
  }

  async run (planned: PlannedRequest, scope: Scope): Promise<RequestOutcome> {
    const { clock, adviceCache } = this._options
    const attempts: AttemptOutcome[] = []
    let namedHosts: string[] = []
    for (;;) {
      const hosts = namedHosts.length > 0 ? namedHosts : await adviceCache.hostsFor(planned.caller)
      const host = hosts[attempts.length % hosts.length]!
      const outcome = await this._attempt(planned, host)
      attempts.push(outcome)
      const retryAtMs = this._retryAtMs(planned, outcome, attempts.length)
      if (retryAtMs === undefined || retryAtMs >= planned.deadlineMs) break
      if (outcome.kind === 'lost') adviceCache.invalidate(planned.caller)
      namedHosts = outcome.kind === 'refused' ? outcome.refusal.otherHosts ?? [] : []
      await sleepUntil(clock, scope, retryAtMs)
    }
    return {
      planned,
      last: attempts.at(-1)!,
      triesCount: attempts.length,
      endedAtMs: clock.nowMs(),
      isRefusedAsNotExecuted: attempts.every(outcome => outcome.kind === 'refused' && outcome.refusal.executed === Executed.No)
    }
  }

  /** Time of the next attempt; undefined if the outcome is final. */
  private _retryAtMs (planned: PlannedRequest, outcome: AttemptOutcome, triesCount: number): number | undefined {
    if (triesCount >= planned.workload.maxTriesCount) return undefined
    const nowMs = this._options.clock.nowMs()
    switch (outcome.kind) {
      case 'whole':
      case 'broken':
        return undefined
      case 'refused':
        return refusalRetryAtMs(outcome.refusal, nowMs)
      case 'lost':
        return isRetryable(planned.workload) ? nowMs + LOST_RETRY_DELAY_MS : undefined
    }
  }

  private async _attempt (planned: PlannedRequest, host: string): Promise<AttemptOutcome> {
    const remainingMs = Math.max(1, planned.deadlineMs - this._options.clock.nowMs())
    try {
      const answer = await request(`http://${host}`, {
        ...buildHttpRequest(planned, remainingMs),
        dispatcher: this._options.dispatcher,
        signal: AbortSignal.timeout(Math.ceil(remainingMs))
      })
      if (answer.statusCode >= FIRST_ERROR_STATUS) return await readRefusal(answer)
      return await this._readAnswer(planned, answer)
    } catch (error) {
      if (error instanceof TypeError) throw error
      return { kind: 'lost', reason: lostReason(error) }
    }
  }

  private async _readAnswer (planned: PlannedRequest, answer: Dispatcher.ResponseData): Promise<AttemptOutcome> {
    const { workload } = planned
    const firstByteAtMs = this._options.clock.nowMs()
    if (workload.kind === WorkloadKind.Service) return checkServiceAnswer(planned, await answer.body.text(), firstByteAtMs)
    if (!workload.stream) return checkUnstreamedCompletion(planned, await answer.body.text(), firstByteAtMs)
    const check = new StreamCheck(planned)
    const decoder = new TextDecoder()
    let isDisconnected = false
    try {
      for await (const bytes of answer.body) check.feed(decoder.decode(bytes as Uint8Array, { stream: true }))
    } catch (error) {
      if (error instanceof TypeError) throw error
      isDisconnected = true
    }
    return check.verdict(firstByteAtMs, isDisconnected)
  }
}

/** The retry time that a refusal allows; undefined if the request may have been executed or the refusal names neither a time nor a host. */
function refusalRetryAtMs ({ executed, retryAfterMs, otherHosts = [] }: Refusal, nowMs: number): number | undefined {
  if (executed !== Executed.No) return undefined
  if (retryAfterMs !== undefined) return nowMs + retryAfterMs
  return otherHosts.length > 0 ? nowMs : undefined
}

/** Completions have no side effects and calls with a key are executed once; other calls are retried only if they are reads. */
function isRetryable (workload: Workload): boolean {
  switch (workload.kind) {
    case WorkloadKind.Completion:
      return true
    case WorkloadKind.Service:
      return workload.idempotencyKey || workload.method === 'GET'
  }
}

async function readRefusal (answer: Dispatcher.ResponseData): Promise<AttemptOutcome> {
  const text = await answer.body.text()
  const parsed = refusalSchema.safeParse(parseJson(text))
  if (parsed.success) return { kind: 'refused', refusal: parsed.data }
  return { kind: 'broken', invariant: InvariantKind.MalformedRefusal, message: `status ${answer.statusCode}: ${text.slice(0, 120)}` }
}

function lostReason (error: unknown): string {
  const { code, name } = error as { code?: unknown, name?: unknown }
  return String(typeof code === 'string' ? code : name)
}
