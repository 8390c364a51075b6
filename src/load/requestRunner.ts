/**
 * Takes one request to its end: asks for advice, sends, checks the answer,
 * and follows refusals (comes back when told, to the hosts named) until the
 * deadline of the caller or its last try.
 */
import { request, type Dispatcher } from 'undici'
import { Executed, refusalSchema, type Refusal } from '../protocol/refusals.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Scope } from '../utils/scope.js'
import type { AdviceKeeper } from './adviceKeeper.js'
import { checkServiceAnswer, checkWholeCompletion, parseJson, StreamCheck } from './answerCheck.js'
import { WorkloadKind, type Workload } from './experiment.js'
import { formOf } from './requestForm.js'
import { InvariantKind, type PlannedRequest, type RequestOutcome, type TryOutcome } from './requestOutcome.js'

const FIRST_ERROR_STATUS = 400
/** Pause before a try that no refusal has set a moment for. */
const LOST_PAUSE_MS = 50

export interface RequestRunnerParts {
  clock: Clock
  dispatcher: Dispatcher
  advice: AdviceKeeper
}

export class RequestRunner {
  private readonly _parts: RequestRunnerParts

  constructor (parts: RequestRunnerParts) {
    this._parts = parts
  }

  async run (planned: PlannedRequest, scope: Scope): Promise<RequestOutcome> {
    const { clock, advice } = this._parts
    const tried: TryOutcome[] = []
    let named: string[] = []
    for (;;) {
      const hosts = named.length > 0 ? named : await advice.hostsFor(planned.caller)
      const host = hosts[tried.length % hosts.length]!
      const outcome = await this._try(planned, host)
      tried.push(outcome)
      const againAtMs = this._againAtMs(planned, outcome, tried.length)
      if (againAtMs === undefined || againAtMs >= planned.deadlineMs) break
      if (outcome.kind === 'lost') advice.forget(planned.caller)
      named = outcome.kind === 'refused' ? outcome.refusal.otherHosts ?? [] : []
      await sleepUntil(clock, scope, againAtMs)
    }
    return {
      planned,
      last: tried.at(-1)!,
      triesCount: tried.length,
      endedAtMs: clock.nowMs(),
      saidNotRun: tried.every(outcome => outcome.kind === 'refused' && outcome.refusal.executed === Executed.No)
    }
  }

  /** When to try again; undefined when the outcome is final. */
  private _againAtMs (planned: PlannedRequest, outcome: TryOutcome, triesCount: number): number | undefined {
    if (triesCount >= planned.workload.maxTriesCount) return undefined
    const nowMs = this._parts.clock.nowMs()
    switch (outcome.kind) {
      case 'whole':
      case 'broken':
        return undefined
      case 'refused':
        return comeBackAtMs(outcome.refusal, nowMs)
      case 'lost':
        return mayBeSentAgain(planned.workload) ? nowMs + LOST_PAUSE_MS : undefined
    }
  }

  private async _try (planned: PlannedRequest, host: string): Promise<TryOutcome> {
    const remainingMs = Math.max(1, planned.deadlineMs - this._parts.clock.nowMs())
    try {
      const answer = await request(`http://${host}`, {
        ...formOf(planned, remainingMs),
        dispatcher: this._parts.dispatcher,
        signal: AbortSignal.timeout(Math.ceil(remainingMs))
      })
      if (answer.statusCode >= FIRST_ERROR_STATUS) return await readRefusal(answer)
      return await this._readAnswer(planned, answer)
    } catch (error) {
      if (error instanceof TypeError) throw error
      return { kind: 'lost', reason: lostReason(error) }
    }
  }

  private async _readAnswer (planned: PlannedRequest, answer: Dispatcher.ResponseData): Promise<TryOutcome> {
    const { workload } = planned
    const firstByteAtMs = this._parts.clock.nowMs()
    if (workload.kind === WorkloadKind.Service) return checkServiceAnswer(planned, await answer.body.text(), firstByteAtMs)
    if (!workload.stream) return checkWholeCompletion(planned, await answer.body.text(), firstByteAtMs)
    const check = new StreamCheck(planned)
    const decoder = new TextDecoder()
    let isCut = false
    try {
      for await (const bytes of answer.body) check.feed(decoder.decode(bytes as Uint8Array, { stream: true }))
    } catch (error) {
      if (error instanceof TypeError) throw error
      isCut = true
    }
    return check.verdict(firstByteAtMs, isCut)
  }
}

/** The moment that a refusal names; none when it may have run, or names neither a moment nor a host. */
function comeBackAtMs ({ executed, retryAfterMs, otherHosts = [] }: Refusal, nowMs: number): number | undefined {
  if (executed !== Executed.No) return undefined
  if (retryAfterMs !== undefined) return nowMs + retryAfterMs
  return otherHosts.length > 0 ? nowMs : undefined
}

/** A completion changes nothing; a call with a key runs once; the rest is repeated only if read. */
function mayBeSentAgain (workload: Workload): boolean {
  switch (workload.kind) {
    case WorkloadKind.Completion:
      return true
    case WorkloadKind.Service:
      return workload.idempotencyKey || workload.method === 'GET'
  }
}

async function readRefusal (answer: Dispatcher.ResponseData): Promise<TryOutcome> {
  const text = await answer.body.text()
  const parsed = refusalSchema.safeParse(parseJson(text))
  if (parsed.success) return { kind: 'refused', refusal: parsed.data }
  return { kind: 'broken', invariant: InvariantKind.MalformedRefusal, message: `status ${answer.statusCode}: ${text.slice(0, 120)}` }
}

function lostReason (error: unknown): string {
  const { code, name } = error as { code?: unknown, name?: unknown }
  return String(typeof code === 'string' ? code : name)
}
