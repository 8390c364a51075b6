/**
 * One store host that runs items for this leader: the tasks that it was given, and
 * the messages to it. Its reports are matched to the tasks by their ids; whatever it
 * reports on a task that has been given up is ignored.
 */
import type { RunnerTask, RewardScore, RunOutcome, TaskReport } from '../protocol/runnerTasks.js'
import type { PeerLinks } from '../replication/log/peerLinks.js'
import { assignTasksMethod, flushTasksMethod, type AssignTasksReply } from '../transport/runnerMethods.js'
import type { CallOutcome } from '../transport/rpcPeer.js'
import type { Clock } from '../utils/clock.js'
import { unreachable } from '../utils/errors.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import type { ProgressListener } from './itemExecutor.js'

/** Messages to a runner wait this long for others, so that they share a call. */
const SEND_DELAY_MS = 4
const SEND_TIMEOUT_MS = 600
/** Pause before a runner that failed gets tasks again; doubles with each further failure. */
const MIN_AVOID_MS = 500
const MAX_AVOID_MS = 8_000

/** Why a runner was given up. */
export enum RunnerFailure {
  Silent = 'silent',
  Unreachable = 'unreachable',
  Unanswered = 'unanswered',
  Stopping = 'stopping',
  StaleTerm = 'stale_term'
}

/** A task whose end the leader waits for. */
export type PendingTask =
  | { kind: 'run', onProgress: ProgressListener, settle: (outcome: RunOutcome) => void }
  | { kind: 'score', settle: (score: RewardScore) => void }

export interface RemoteRunnerOptions {
  clock: Clock
  scope: Scope
  links: PeerLinks
  term: number
  /** Where the runner sends its reports. */
  leaderAddress: string
  /** Called when the runner is given up, with the number of tasks that it had. */
  onLost: (runner: RemoteRunner, reason: RunnerFailure, tasksCount: number) => void
}

export class RemoteRunner {
  readonly hostId: string
  dataCentre: string
  address: string
  private readonly _options: RemoteRunnerOptions
  private readonly _tasks = new Map<number, PendingTask>()
  private _outgoing: RunnerTask[] = []
  private _isSendScheduled = false
  private _heardAtMs: number
  private _avoidUntilMs = Number.NEGATIVE_INFINITY
  private _avoidMs = MIN_AVOID_MS

  constructor (hostId: string, address: string, dataCentre: string, options: RemoteRunnerOptions) {
    this.hostId = hostId
    this.address = address
    this.dataCentre = dataCentre
    this._options = options
    this._heardAtMs = options.clock.nowMs()
  }

  get tasksCount (): number {
    return this._tasks.size
  }

  /** Whether the runner may be given tasks. */
  get isUsable (): boolean {
    return this._options.clock.nowMs() >= this._avoidUntilMs
  }

  /** How long the runner has not been heard of although it has tasks. */
  get silentMs (): number {
    return this._tasks.size === 0 ? 0 : this._options.clock.nowMs() - this._heardAtMs
  }

  /** Announces the term, so that the runner ends the tasks of an earlier leader. */
  announce (): void {
    this._scheduleSend()
  }

  start (task: Extract<RunnerTask, { kind: 'run' | 'score' }>, pending: PendingTask): void {
    if (this._tasks.size === 0) this._heardAtMs = this._options.clock.nowMs()
    this._tasks.set(task.taskId, pending)
    this._send(task)
  }

  /** Ends a run; its events and its outcome still follow. */
  stop (taskId: number): void {
    if (this._tasks.has(taskId)) this._send({ kind: 'stop', taskId })
  }

  /** Ends a task that nobody waits for any more. */
  cancel (taskId: number): void {
    if (this._tasks.delete(taskId)) this._send({ kind: 'cancel', taskId })
  }

  /** Records reports of the runner; returns the ids of tasks that it should end. */
  receive (reports: readonly TaskReport[]): number[] {
    this._heardAtMs = this._options.clock.nowMs()
    this._avoidMs = MIN_AVOID_MS
    return reports.filter(report => !this._apply(report)).map(({ taskId }) => taskId)
  }

  /** Gives up all tasks and avoids the runner for a while. */
  lose (reason: RunnerFailure): void {
    this._avoid()
    const lost = [...this._tasks.values()]
    this._tasks.clear()
    this._options.onLost(this, reason, lost.length)
    for (const task of lost) interrupt(task, reason)
  }

  async flush (progress: Progress): Promise<void> {
    if (this._tasks.size === 0) return
    await this._options.links.to({ peerAddress: this.address }).call(flushTasksMethod, { term: this._options.term }, progress)
  }

  /** Applies a report; returns false if nobody waits for its task. */
  private _apply (report: TaskReport): boolean {
    const task = this._tasks.get(report.taskId)
    if (!task) return false
    switch (report.kind) {
      case 'progress':
        if (task.kind === 'run') task.onProgress(report.progress)
        return true
      case 'ran':
        this._tasks.delete(report.taskId)
        if (task.kind === 'run') task.settle(report.outcome)
        return true
      case 'scored':
        this._tasks.delete(report.taskId)
        if (task.kind === 'score') task.settle(report.score)
        return true
      default:
        return unreachable(report)
    }
  }

  private _send (task: RunnerTask): void {
    this._outgoing.push(task)
    this._scheduleSend()
  }

  private _scheduleSend (): void {
    if (this._isSendScheduled) return
    this._isSendScheduled = true
    const { clock, scope } = this._options
    clock.callAt(clock.nowMs() + SEND_DELAY_MS, () => {
      this._isSendScheduled = false
      if (!scope.isClosed) this._sendOutgoing().catch(error => { if (!scope.isClosed) throw error })
    })
  }

  private async _sendOutgoing (): Promise<void> {
    const { clock, scope, links, term, leaderAddress } = this._options
    const tasks = this._outgoing
    this._outgoing = []
    const progress = new Progress(clock, scope, clock.nowMs() + SEND_TIMEOUT_MS)
    const outcome = await links.to({ peerAddress: this.address }).call(assignTasksMethod, { term, leaderAddress, tasks }, progress)
    if (outcome.kind === 'replied' && outcome.body.kind === 'assigned') {
      this._heardAtMs = clock.nowMs()
      return
    }
    this._interruptUnassigned(tasks, failureOf(outcome))
  }

  /** Gives up the tasks of a message that the runner may not have received, and avoids the runner for a while. */
  private _interruptUnassigned (tasks: readonly RunnerTask[], reason: RunnerFailure): void {
    this._avoid()
    const pending = tasks.flatMap(({ taskId }) => this._tasks.get(taskId) ?? [])
    for (const { taskId } of tasks) this._tasks.delete(taskId)
    this._options.onLost(this, reason, pending.length)
    for (const task of pending) interrupt(task, reason)
  }

  private _avoid (): void {
    this._avoidUntilMs = this._options.clock.nowMs() + this._avoidMs
    this._avoidMs = Math.min(MAX_AVOID_MS, 2 * this._avoidMs)
  }
}

function interrupt (task: PendingTask, reason: RunnerFailure): void {
  task.settle({ kind: 'interrupted', reason })
}

function failureOf (outcome: CallOutcome<AssignTasksReply>): RunnerFailure {
  switch (outcome.kind) {
    case 'unserved':
      return RunnerFailure.Unreachable
    case 'lost':
      return RunnerFailure.Unanswered
    case 'replied':
      return outcome.body.kind === 'stopping' ? RunnerFailure.Stopping : RunnerFailure.StaleTerm
    default:
      return unreachable(outcome)
  }
}
