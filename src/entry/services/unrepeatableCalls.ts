/**
 * Calls that run at most once. A quorum of the control hosts records the key
 * as `started` before the first byte is sent, and records the response before
 * the caller gets it. A resend through any host therefore gets the recorded
 * response or a refusal with an unknown outcome, and never runs the call again.
 *
 * A started call runs in the scope of this host, not of its caller: it runs to
 * completion and is recorded even if the caller disconnects.
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
/** How long the submission of a key's release or of a response to control is retried. */
const SUBMIT_RETRY_LIMIT_MS = 60_000
/** How long the response to the caller is delayed until it is recorded. */
const RECORD_WAIT_LIMIT_MS = 2_000
const SUBMIT_RETRY_INTERVAL_MS = 250

const awaitRequestSchema = z.object({ attemptKey: z.string() })
const awaitReplySchema = z.object({ wasHere: z.boolean() })
const awaitMethod = rpcMethod('unrepeatable.await', awaitRequestSchema, awaitReplySchema)

/** Identifies an unrepeatable request across its resends. */
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

/** One attempt of an unrepeatable request, from its arrival at this host to its end. */
interface UnrepeatableAttempt {
  key: UnrepeatableKey
  attemptId: string
  call: ServiceCall
  requestHash: string
  /** Generation of the key when the attempt arrived; a release of the key increments it. */
  generation: number
  /** Progress of the caller's request. */
  progress: Progress
  /** Whether bytes of the request may have been sent to an endpoint. */
  isAtEndpoint: boolean
}

export class UnrepeatableCalls {
  private readonly _options: UnrepeatableCallsOptions
  /** Promises that settle when an attempt or a background submission of this host ends, by attempt key or task id. */
  private readonly _running = new Map<string, Promise<unknown>>()

  constructor (options: UnrepeatableCallsOptions) {
    this._options = options
    options.peers.handlers.on(awaitMethod, ({ attemptKey }) => this._awaitLocalAttempt(attemptKey))
  }

  /** Number of running attempts and background submissions; a planned stop waits for them. */
  get runningCount (): number {
    return this._running.size
  }

  async run (key: UnrepeatableKey, call: ServiceCall, requestId: string, progress: Progress): Promise<UnrepeatableOutcome> {
    const requestHash = hashOf(call)
    const state = await this._queryState(key, progress)
    if (!state) return refused(RefusalReason.ControlUnavailable, Executed.Unknown, 'could not read the ledger of unrepeatable requests')
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
   * Refuses a request that was not sent to an endpoint. "Not run" has to hold
   * for every attempt of the key, so the key is released first, which bars
   * attempts that still wait on any host. Without a confirmed release, the
   * refusal reports an unknown outcome.
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
    const bounded = progress.withDeadline(progress.clock.nowMs() + QUERY_TIMEOUT_MS)
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
    // If nothing was sent, nothing will be sent after the deadline: the attempt ends soon and reports that it did not run.
    const settled = attempt.isAtEndpoint ? raced : await this._raceReleaseTimeout(execution)
    if (settled.kind === 'done') return settled.value
    return refused(RefusalReason.DeadlinePassed, Executed.Unknown, 'the deadline passed before a response arrived; resend the key to get the response once it is recorded')
  }

  private async _raceReleaseTimeout<T> (promise: Promise<T>): Promise<Raced<T>> {
    const { clock, supervisor } = this._options
    return await new Progress(clock, supervisor.scope, clock.nowMs() + RELEASE_TIMEOUT_MS).race(promise)
  }

  /** Records the key as started and runs the call, both in the scope of this host. */
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
    const submitted = await control.submit(command, progress.withDeadline(progress.clock.nowMs() + START_TIMEOUT_MS))
    if (submitted.kind === 'committed' && submitted.result.kind === 'started') return await this._runStarted(attempt, assignment, progress)
    assignment.finish({ kind: 'cancelled' })
    if (submitted.kind === 'committed') return await this._outcomeOfUnstarted(attempt, submitted.result)
    // The start command may have been committed. This attempt does not run, so the key is released.
    this._releaseInBackground(attempt)
    return refused(RefusalReason.ControlUnavailable, Executed.Unknown, `could not record the start of the request: ${submitted.reason}`)
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

  /** Sends the call to one endpoint after another until an endpoint may have run the call or no retry is allowed. */
  private async _dispatch (attempt: UnrepeatableAttempt, first: Assignment, progress: Progress): Promise<EndpointOutcome> {
    const { scheduler, limits } = this._options
    const excludedEndpointIds = [...attempt.call.item.excludedEndpointIds]
    let assignment = first
    for (;;) {
      const outcome = await runAtEndpoint(attempt, assignment, limits, progress)
      if (outcome.kind !== 'notRun' || !this._mayRetry(attempt, outcome.retryReason)) return outcome
      excludedEndpointIds.push(assignment.endpoint.announcement.endpointId)
      const next = await scheduler.assign({ ...attempt.call.item, excludedEndpointIds }, progress.withDeadline(attempt.progress.deadlineMs))
      if (next.kind === 'refused') return outcome
      assignment = next.assignment
    }
  }

  private _mayRetry ({ call, progress }: UnrepeatableAttempt, reason: RetryReason): boolean {
    return !progress.isPastDeadline() && !progress.scope.isClosed && this._options.scheduler.takeRetry(call.item.pool, reason)
  }

  /** Records the response, waiting at most RECORD_WAIT_LIMIT_MS; a slower submission continues in the background. */
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

  /** Submits a command to control until it is committed or SUBMIT_RETRY_LIMIT_MS has passed. */
  private _submitInBackground (name: string, submit: (progress: Progress) => Promise<boolean>): Promise<void> {
    const { clock, supervisor, logger } = this._options
    const id = `${name} ${this._options.random.id()}`
    return new Promise<void>(resolve => {
      const scope = supervisor.spawn(id, async scope => {
        const progress = new Progress(clock, scope, clock.nowMs() + SUBMIT_RETRY_LIMIT_MS)
        while (!progress.isPastDeadline()) {
          if (await submit(progress.withDeadline(clock.nowMs() + START_TIMEOUT_MS))) return
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

  /** Waits for an attempt that runs on this or another host, until the attempt ends or the host that runs the attempt fails. */
  private async _awaitEarlierAttempt (key: UnrepeatableKey, requestHash: string, { hostId, attemptId }: StartedState, progress: Progress): Promise<UnrepeatableOutcome> {
    const attemptKey = attemptKeyOf(key, attemptId)
    progress.log(`waiting for earlier attempt ${attemptId} on host ${hostId}`)
    if (hostId === this._options.hostId) await progress.race(this._awaitLocalAttempt(attemptKey))
    else await this._options.peers.call(hostId, awaitMethod, { attemptKey }, progress)
    if (progress.isPastDeadline()) return refused(RefusalReason.DeadlinePassed, Executed.Unknown, 'the deadline passed while waiting for an earlier attempt of the key')
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
    case undefined: return refused(RefusalReason.ControlUnavailable, Executed.Unknown, 'could not read the ledger of unrepeatable requests')
    case 'answered': return replay(state.answer, state.requestHash === requestHash)
    case 'started': return refused(RefusalReason.AnswerLost, Executed.Unknown, `an earlier attempt of the key was started on host ${state.hostId}; its outcome is unknown`)
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
  if (answer.bodyDropped) return refused(RefusalReason.AnswerLost, Executed.Yes, `the request ran and got a response with status ${answer.status}, whose body was not recorded`)
  return { kind: 'answer', answer, replayed: true }
}

function refused (reason: RefusalReason, executed: Executed, message: string): UnrepeatableOutcome {
  return { kind: 'refused', refusal: { reason, executed, message } }
}

function withUnknownExecution (refusal: Refusal): UnrepeatableOutcome {
  return { kind: 'refused', refusal: { ...refusal, executed: Executed.Unknown } }
}

function keyReused (): UnrepeatableOutcome {
  return refused(RefusalReason.IdempotencyKeyReused, Executed.No, 'the idempotency key was already used for a different request; this request was not run')
}

function superseded (): UnrepeatableOutcome {
  return refused(RefusalReason.Superseded, Executed.No, 'another attempt of the key was refused as not run after this one had arrived; send the request again')
}
