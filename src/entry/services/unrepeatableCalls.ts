/**
 * Calls that may run at most once. The key is `started` on a quorum of the
 * control hosts before the first byte leaves, and the answer is recorded there
 * before the caller gets it, so that a resend through any host gets the same
 * answer, or hears that the outcome is unknown, and never runs a second time.
 *
 * Once started, a call belongs to this host and not to its caller: it runs to
 * its end and is recorded even when the caller goes.
 */
import { createHash } from 'node:crypto'
import { z } from 'zod'
import type { ControlClient } from '../../controlClient/controlClient.js'
import { QueryKind, type UnrepeatableState } from '../../protocol/queries.js'
import { Executed, RefusalReason, RetryReason, type Refusal } from '../../protocol/refusals.js'
import { UnrepeatableCommandKind, type RecordedAnswer, type UnrepeatableResult } from '../../protocol/unrepeatableCommands.js'
import { rpcMethod } from '../../transport/rpcPeer.js'
import { sleepUntil, type Clock } from '../../utils/clock.js'
import { unreachable } from '../../utils/errors.js'
import type { Logger } from '../../utils/logger.js'
import { Progress, type Raced } from '../../utils/progress.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { Supervisor } from '../../utils/supervisor.js'
import { EntryEvent } from '../entryEvents.js'
import type { RequestJournal } from '../http/requestJournal.js'
import type { PeerNetwork } from '../peers/peerNetwork.js'
import type { Assignment, Scheduler } from '../scheduling/scheduler.js'
import type { ServiceCall } from './serviceCall.js'
import { runAtEndpoint, type EndpointOutcome } from './unrepeatableDispatch.js'

const QUERY_TIMEOUT_MS = 2_000
const START_TIMEOUT_MS = 3_000
const RELEASE_TIMEOUT_MS = 1_000
/** How long a release or an answer is offered to control again and again. */
const SUBMIT_RETRY_LIMIT_MS = 60_000
/** How long the caller's answer waits for its record. */
const RECORD_WAIT_LIMIT_MS = 2_000
const SUBMIT_RETRY_INTERVAL_MS = 250

const awaitRequestSchema = z.object({ attemptKey: z.string() })
const awaitReplySchema = z.object({ wasHere: z.boolean() })
const awaitMethod = rpcMethod('unrepeatable.await', awaitRequestSchema, awaitReplySchema)

/** Names one unrepeatable request across its resends. */
export interface UnrepeatableKey {
  callerName: string
  idempotencyKey: string
}

export type UnrepeatableOutcome =
  | { kind: 'answer', answer: RecordedAnswer, replayed: boolean }
  | { kind: 'refused', refusal: Refusal }

export interface UnrepeatableCallsOptions {
  hostId: string
  control: ControlClient
  scheduler: Scheduler
  peers: PeerNetwork
  supervisor: Supervisor
  clock: Clock
  random: RandomSource
  logger: Logger
  journal: RequestJournal
  limits: { connectTimeoutMs: number, maxBodyBytes: number, maxRecordedBodyBytes: number, unrepeatableTimeoutMs: number }
}

type StartedState = Extract<UnrepeatableState, { kind: 'started' }>

/** One try, from its arrival to its end. */
interface UnrepeatableAttempt {
  key: UnrepeatableKey
  attemptId: string
  call: ServiceCall
  requestHash: string
  /** The generation of the key that this try saw when it arrived. */
  generation: number
  /** The caller's. */
  progress: Progress
  /** Bytes of it may be on their way to an endpoint, or have reached one. */
  isAtEndpoint: boolean
}

export class UnrepeatableCalls {
  private readonly _options: UnrepeatableCallsOptions
  /** Ends of the tries that run here, by caller, key and attempt. */
  private readonly _running = new Map<string, Promise<unknown>>()

  constructor (options: UnrepeatableCallsOptions) {
    this._options = options
    options.peers.handlers.on(awaitMethod, ({ attemptKey }) => this._awaitLocalAttempt(attemptKey))
  }

  /** Tries that were started and have not ended; a planned stop waits for them. */
  get runningCount (): number {
    return this._running.size
  }

  async run (key: UnrepeatableKey, call: ServiceCall, requestId: string, progress: Progress): Promise<UnrepeatableOutcome> {
    const requestHash = hashOf(call)
    const state = await this._queryState(key, progress)
    if (!state) return refused(RefusalReason.ControlUnavailable, Executed.Unknown, 'the ledger of unrepeatable requests cannot be read')
    switch (state.kind) {
      case 'answered': return replay(state.answer, state.requestHash === requestHash)
      case 'started': return await this._awaitEarlierAttempt(key, requestHash, state, progress)
      case 'absent': {
        const attemptId = this._options.random.id()
        this._options.journal.addAttempt(attemptId, requestId)
        return await this._assignAndExecute({ key, attemptId, call, requestHash, generation: state.generation, progress, isAtEndpoint: false })
      }
      default: return unreachable(state)
    }
  }

  /**
   * Refuses a request that never came to its turn. "Not run" holds for the
   * whole key, so earlier tries of it that wait somewhere are barred first.
   */
  async releaseAndRefuse (key: UnrepeatableKey, attemptId: string, refusal: Refusal): Promise<UnrepeatableOutcome> {
    const { control, clock, supervisor } = this._options
    if (!control.holdsLease()) return withUnknownExecution(refusal)
    const progress = new Progress(clock, supervisor.scope, clock.nowMs() + RELEASE_TIMEOUT_MS)
    const submitted = await control.submit({ kind: UnrepeatableCommandKind.Release, ...key, attemptId }, progress)
    if (submitted.kind !== 'committed') return withUnknownExecution(refusal)
    switch (submitted.result.kind) {
      case 'released': return { kind: 'refused', refusal: { ...refusal, executed: Executed.No } }
      default: return withUnknownExecution(refusal)
    }
  }

  private async _queryState (key: UnrepeatableKey, progress: Progress): Promise<UnrepeatableState | undefined> {
    const bounded = progress.before(progress.clock.nowMs() + QUERY_TIMEOUT_MS)
    const outcome = await this._options.control.query({ kind: QueryKind.Unrepeatable, ...key }, bounded)
    return outcome.kind === 'answered' ? outcome.result : undefined
  }

  private async _assignAndExecute (attempt: UnrepeatableAttempt): Promise<UnrepeatableOutcome> {
    const { call, key, attemptId, progress } = attempt
    const assigned = await this._options.scheduler.assign(call.item, progress)
    if (assigned.kind === 'refused') {
      const { reason, message, retryAfterMs } = assigned
      return await this.releaseAndRefuse(key, attemptId, { reason, message, retryAfterMs, executed: Executed.No })
    }
    const execution = this._execute(attempt, assigned.assignment)
    const raced = await progress.race(execution)
    if (raced.kind === 'done') return raced.value
    // Nothing was sent and nothing will be now: the try ends by itself, and knows that it did not run.
    const settled = attempt.isAtEndpoint ? raced : await this._raceReleaseTimeout(execution)
    if (settled.kind === 'done') return settled.value
    return refused(RefusalReason.DeadlinePassed, Executed.Unknown, 'the deadline passed before the answer came; a resend of the key gets it when it is there')
  }

  private async _raceReleaseTimeout<T> (promise: Promise<T>): Promise<Raced<T>> {
    const { clock, supervisor } = this._options
    return await new Progress(clock, supervisor.scope, clock.nowMs() + RELEASE_TIMEOUT_MS).race(promise)
  }

  /** Starts the key and runs the call, in the scope of the host. */
  private _execute (attempt: UnrepeatableAttempt, assignment: Assignment): Promise<UnrepeatableOutcome> {
    const { clock, supervisor, limits } = this._options
    const attemptKey = attemptKeyOf(attempt.key, attempt.attemptId)
    const ended = new Promise<UnrepeatableOutcome>(resolve => {
      const scope = supervisor.spawn(`unrepeatable ${attempt.attemptId}`, async scope => {
        const progress = new Progress(clock, scope, clock.nowMs() + limits.unrepeatableTimeoutMs)
        resolve(await this._startAndRun(attempt, assignment, progress))
      })
      scope.onClose(() => this._running.delete(attemptKey))
    })
    this._running.set(attemptKey, ended)
    return ended
  }

  private async _startAndRun (attempt: UnrepeatableAttempt, assignment: Assignment, progress: Progress): Promise<UnrepeatableOutcome> {
    const { key, attemptId, requestHash, generation } = attempt
    const { control, hostId } = this._options
    const command = { kind: UnrepeatableCommandKind.Start as const, ...key, attemptId, requestHash, hostId, generation }
    const submitted = await control.submit(command, progress.before(progress.clock.nowMs() + START_TIMEOUT_MS))
    if (submitted.kind === 'committed' && submitted.result.kind === 'started') return await this._runStarted(attempt, assignment, progress)
    assignment.finish({ kind: 'cancelled' })
    if (submitted.kind === 'committed') return await this._outcomeOfUnstarted(attempt, submitted.result)
    // It may be in the log; this try does not run, so the key is to be free again.
    this._releaseInBackground(attempt)
    return refused(RefusalReason.ControlUnavailable, Executed.Unknown, `the start could not be recorded: ${submitted.reason}`)
  }

  private async _outcomeOfUnstarted ({ key, requestHash, progress }: UnrepeatableAttempt, result: UnrepeatableResult): Promise<UnrepeatableOutcome> {
    switch (result.kind) {
      case 'answered': return replay(result.answer, true)
      case 'alreadyStarted': {
        const state = await this._queryState(key, progress)
        if (state?.kind !== 'started') return outcomeOf(state, requestHash)
        return await this._awaitEarlierAttempt(key, requestHash, state, progress)
      }
      case 'keyReused': return keyReused()
      case 'superseded': return superseded()
      case 'ledgerFull': return refused(RefusalReason.ControlUnavailable, Executed.No, 'the ledger of unrepeatable requests is full')
      default: return refused(RefusalReason.ControlUnavailable, Executed.Unknown, `the ledger answered ${result.kind}`)
    }
  }

  private async _runStarted (attempt: UnrepeatableAttempt, assignment: Assignment, progress: Progress): Promise<UnrepeatableOutcome> {
    const outcome = await this._dispatch(attempt, assignment, progress)
    switch (outcome.kind) {
      case 'answered': {
        await this._record(attempt, outcome.answer)
        return { kind: 'answer', answer: outcome.answer, replayed: false }
      }
      case 'notRun': {
        const releaseOutcome = await this.releaseAndRefuse(attempt.key, attempt.attemptId, { reason: outcome.reason, executed: Executed.No, message: outcome.message, callLog: [...attempt.progress.callLog] })
        if (releaseOutcome.kind === 'refused' && releaseOutcome.refusal.executed !== Executed.No) this._releaseInBackground(attempt)
        return releaseOutcome
      }
      case 'lost': {
        this._options.logger.event(EntryEvent.UnrepeatableUnknown, { attemptId: attempt.attemptId, idempotencyKey: attempt.key.idempotencyKey, reason: outcome.message })
        return refused(RefusalReason.AnswerLost, Executed.Unknown, outcome.message)
      }
    }
  }

  /** Tries endpoints until one may have run it. */
  private async _dispatch (attempt: UnrepeatableAttempt, first: Assignment, progress: Progress): Promise<EndpointOutcome> {
    const { scheduler, limits } = this._options
    const excludedEndpointIds = [...attempt.call.item.excludedEndpointIds]
    let assignment = first
    for (;;) {
      const outcome = await runAtEndpoint(attempt, assignment, limits, progress)
      if (outcome.kind !== 'notRun' || !this._mayRetry(attempt, outcome.retryReason)) return outcome
      excludedEndpointIds.push(assignment.endpoint.announcement.endpointId)
      const next = await scheduler.assign({ ...attempt.call.item, excludedEndpointIds }, progress.before(attempt.progress.deadlineMs))
      if (next.kind === 'refused') return outcome
      assignment = next.assignment
    }
  }

  private _mayRetry ({ call, progress }: UnrepeatableAttempt, reason: RetryReason): boolean {
    return !progress.isOver() && !progress.scope.isClosed && this._options.scheduler.takeRetry(call.item.pool, reason)
  }

  /** Records the answer; goes on in the background when control is slow. */
  private async _record (attempt: UnrepeatableAttempt, answer: RecordedAnswer): Promise<void> {
    const { clock, supervisor } = this._options
    const recorded = this._submitInBackground('record', progress => this._submitAnswer(attempt, answer, progress))
    await new Progress(clock, supervisor.scope, clock.nowMs() + RECORD_WAIT_LIMIT_MS).race(recorded)
  }

  private async _submitAnswer ({ key, attemptId }: UnrepeatableAttempt, given: RecordedAnswer, progress: Progress): Promise<boolean> {
    const tooLarge = given.body.length > this._options.limits.maxRecordedBodyBytes
    const answer = tooLarge ? { ...given, body: new Uint8Array(0), bodyDropped: true } : given
    const submitted = await this._options.control.submit({ kind: UnrepeatableCommandKind.Finish, ...key, attemptId, answer }, progress)
    return submitted.kind === 'committed'
  }

  private async _submitRelease ({ key, attemptId }: UnrepeatableAttempt, progress: Progress): Promise<boolean> {
    const submitted = await this._options.control.submit({ kind: UnrepeatableCommandKind.Release, ...key, attemptId }, progress)
    return submitted.kind === 'committed'
  }

  private _releaseInBackground (attempt: UnrepeatableAttempt): void {
    this._submitInBackground('release', progress => this._submitRelease(attempt, progress)).catch(() => {})
  }

  /** Offers a command to control until it is taken or a minute has passed. */
  private _submitInBackground (name: string, submit: (progress: Progress) => Promise<boolean>): Promise<void> {
    const { clock, supervisor, logger } = this._options
    const id = `${name} ${this._options.random.id()}`
    return new Promise<void>(resolve => {
      const scope = supervisor.spawn(id, async scope => {
        const progress = new Progress(clock, scope, clock.nowMs() + SUBMIT_RETRY_LIMIT_MS)
        while (!progress.isOver()) {
          if (await submit(progress.before(clock.nowMs() + START_TIMEOUT_MS))) return
          await waitBeforeResubmit(progress)
        }
        logger.event(EntryEvent.UnrepeatableNotRecorded, { command: name })
      })
      const running = new Promise<void>(resolve => scope.onClose(resolve))
      this._running.set(id, running)
      scope.onClose(() => {
        this._running.delete(id)
        resolve()
      })
    })
  }

  /** Waits for a try that runs on some host, as long as that host lives. */
  private async _awaitEarlierAttempt (key: UnrepeatableKey, requestHash: string, { hostId, attemptId }: StartedState, progress: Progress): Promise<UnrepeatableOutcome> {
    const attemptKey = attemptKeyOf(key, attemptId)
    progress.log(`an earlier try ${attemptId} runs on host ${hostId}`)
    if (hostId === this._options.hostId) await progress.race(this._awaitLocalAttempt(attemptKey))
    else await this._options.peers.call(hostId, awaitMethod, { attemptKey }, progress)
    if (progress.isOver()) return refused(RefusalReason.DeadlinePassed, Executed.Unknown, 'the deadline passed while an earlier try of the key was running')
    return outcomeOf(await this._queryState(key, progress), requestHash)
  }

  private async _awaitLocalAttempt (attemptKey: string): Promise<{ wasHere: boolean }> {
    const running = this._running.get(attemptKey)
    if (!running) return { wasHere: false }
    await running.catch(() => {})
    return { wasHere: true }
  }
}

function outcomeOf (state: UnrepeatableState | undefined, requestHash: string): UnrepeatableOutcome {
  switch (state?.kind) {
    case undefined: return refused(RefusalReason.ControlUnavailable, Executed.Unknown, 'the ledger of unrepeatable requests cannot be read')
    case 'answered': return replay(state.answer, state.requestHash === requestHash)
    case 'started': return refused(RefusalReason.AnswerLost, Executed.Unknown, `an earlier try was started on host ${state.hostId}; its outcome is unknown`)
    case 'absent': return superseded()
    default: return unreachable(state)
  }
}

async function waitBeforeResubmit ({ clock, scope }: Progress): Promise<void> {
  await sleepUntil(clock, scope, clock.nowMs() + SUBMIT_RETRY_INTERVAL_MS)
}

function attemptKeyOf ({ callerName, idempotencyKey }: UnrepeatableKey, attemptId: string): string {
  return JSON.stringify([callerName, idempotencyKey, attemptId])
}

function hashOf ({ item, method, path, body }: ServiceCall): string {
  return createHash('sha256').update(`${method}\n${item.pool}\n${path}\n`).update(body).digest('base64url')
}

function replay (answer: RecordedAnswer, sameRequest: boolean): UnrepeatableOutcome {
  if (!sameRequest) return keyReused()
  if (answer.bodyDropped) return refused(RefusalReason.AnswerLost, Executed.Yes, `it ran and was answered with status ${answer.status}; the body is no longer kept`)
  return { kind: 'answer', answer, replayed: true }
}

function refused (reason: RefusalReason, executed: Executed, message: string): UnrepeatableOutcome {
  return { kind: 'refused', refusal: { reason, executed, message } }
}

function withUnknownExecution (refusal: Refusal): UnrepeatableOutcome {
  return { kind: 'refused', refusal: { ...refusal, executed: Executed.Unknown } }
}

function keyReused (): UnrepeatableOutcome {
  return refused(RefusalReason.IdempotencyKeyReused, Executed.No, 'the key belongs to another request, this one was not run')
}

function superseded (): UnrepeatableOutcome {
  return refused(RefusalReason.Superseded, Executed.No, 'another try of the key was given up as not run after this one had arrived; send it again')
}
