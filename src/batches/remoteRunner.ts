/**
 * One store host that runs items for this leader: the tasks that it was given, and
 * the messages to it. Its reports are matched to the tasks by their ids; whatever it
 * reports on a task that has been given up is ignored.
 */
import type { RunnerTask, RewardScore, RunOutcome, RunProgress, TaskReport } from '../protocol/runnerTasks.js'
import type { PeerLinks } from '../replication/log/peerLinks.js'
import { assignTasksMethod, flushTasksMethod, type AssignTasksReply, type TasksReport } from '../transport/runnerMethods.js'
import type { PeerLink } from '../transport/peerLink.js'
import type { CallOutcome } from '../transport/rpcPeer.js'
import type { Clock } from '../utils/clock.js'
import { unreachable } from '../utils/errors.js'
import { Progress } from '../utils/progress.js'
import { rendezvousRank } from '../utils/rendezvous.js'
import type { Scope } from '../utils/scope.js'
import type { ProgressListener } from './itemExecutor.js'
import { PeerClock } from './peerClock.js'

/** Messages to a runner wait this long for others, so that they share a call. */
const SEND_DELAY_MS = 4
const SEND_TIMEOUT_MS = 600
/** Bodies in one call: a heartbeat of the log may wait behind it. */
const MAX_CALL_BYTES = 1024 * 1024
/** A runner without tasks is asked for an answer when it has not been heard of for this long; one with tasks reports as often. */
const HEARTBEAT_INTERVAL_MS = 150
/** A runner that has not been heard of, or has not heard of this host, for this long may be frozen or cut off: two intervals and a delayed message. */
const LIVE_MS = 350
/** A runner that may be frozen gets this long to answer before tasks are sent to it: many round trips, also between regions. */
const CONFIRM_TIMEOUT_MS = 250
/** Pause before a runner that failed is probed; doubles with each further failure. */
const MIN_PROBE_PAUSE_MS = 300
const MAX_PROBE_PAUSE_MS = 5_000

/** Why a runner was given up. */
export enum RunnerFailure {
  Silent = 'silent',
  Unreachable = 'unreachable',
  Unanswered = 'unanswered',
  /** It received tasks too late to start them. */
  Outdated = 'outdated',
  Stopping = 'stopping',
  StaleTerm = 'stale_term',
  /** Its process has started anew and has none of its tasks. */
  Restarted = 'restarted',
  /** It has another address. */
  Moved = 'moved'
}

/** A task whose end the leader waits for. */
export type PendingTask =
  | { kind: 'run', onProgress: ProgressListener, settle: (outcome: RunOutcome) => void }
  | { kind: 'score', settle: (score: RewardScore) => void }

/** What a runner says of itself in each message. */
type Sender = Pick<TasksReport, 'incarnationId' | 'runnerClockMs' | 'leaderHeardAtMs'>

type SendOutcome =
  | { kind: 'assigned', incarnationId: string }
  | { kind: 'failed', reason: RunnerFailure }

interface AssignedTask {
  pending: PendingTask
  /** The process that has confirmed that it has the task. */
  incarnationId?: string
}

export interface RemoteRunnerOptions {
  clock: Clock
  scope: Scope
  links: PeerLinks
  term: number
  /** Where the runner sends its reports. */
  leaderAddress: string
  /** Whether the processor of this host is overloaded, so that answers are read late. */
  isOverloaded: () => boolean
  /** Called when the runner is given up, with the number of tasks that it had. */
  onLost: (runner: RemoteRunner, reason: RunnerFailure, tasksCount: number) => void
}

export class RemoteRunner {
  readonly hostId: string
  readonly dataCentre: string
  readonly address: string
  /** Order in which hosts are chosen for reward calls, the same for every leader. */
  readonly scoringRank: number
  private readonly _options: RemoteRunnerOptions
  private readonly _tasks = new Map<number, AssignedTask>()
  private readonly _link: PeerLink
  private _outgoing: RunnerTask[] = []
  private _isSendScheduled = false
  private _heardAtMs: number
  /** Whether the runner had lately received a message of this host when it was last heard of. */
  private _isReached = true
  /** When the runner was given the first of its present tasks. */
  private _busySinceMs = 0
  private _pendingCallsCount = 0
  /** Everything is held back until the runner answers. */
  private _isConfirming = false
  /** When to probe a runner that has not answered since it failed, or at all; undefined while it may be given tasks. */
  private _probeAtMs: number | undefined
  private readonly _runnerClock: PeerClock
  private _probePauseMs = MIN_PROBE_PAUSE_MS

  constructor (hostId: string, address: string, dataCentre: string, options: RemoteRunnerOptions) {
    this.hostId = hostId
    this.address = address
    this.scoringRank = rendezvousRank('reward calls', hostId)
    this.dataCentre = dataCentre
    this._options = options
    this._runnerClock = new PeerClock(options.clock)
    this._link = options.links.to({ peerAddress: address })
    this._heardAtMs = options.clock.nowMs()
    this._probeAtMs = this._heardAtMs
    // A process that ends closes its connections, and its host refuses new ones.
    const removeListener = this._link.onClosed(() => { if (this._tasks.size > 0) this._scheduleSend() })
    options.scope.onClose(removeListener)
  }

  get tasksCount (): number {
    return this._tasks.size
  }

  /** Whether the runner may be given tasks. */
  get isUsable (): boolean {
    return this._probeAtMs === undefined
  }

  /** Whether messages were lately received in both directions, so that the runner is most likely not frozen or cut off. */
  get isLive (): boolean {
    return this._isReached && this._options.clock.nowMs() - this._heardAtMs <= LIVE_MS
  }

  /** How long the runner has not been heard of although it has tasks. */
  get silentMs (): number {
    return this._tasks.size === 0 ? 0 : this._options.clock.nowMs() - Math.max(this._heardAtMs, this._busySinceMs)
  }

  /** Announces the term, so that the runner ends the tasks of an earlier leader; resolves when it has answered or failed to. */
  async announce (): Promise<void> {
    await this._sendOutgoing()
  }

  /** Asks a runner that failed for an answer, which makes it usable again. */
  probeIfDue (): void {
    const { clock } = this._options
    if (this._probeAtMs === undefined || clock.nowMs() < this._probeAtMs) return
    this._postponeProbe()
    this._scheduleSend()
  }

  /** Asks a runner without tasks, which reports nothing by itself, for an answer. */
  heartbeatIfDue (): void {
    if (!this.isUsable || this._tasks.size > 0 || this._pendingCallsCount > 0) return
    if (this._options.clock.nowMs() >= this._heardAtMs + HEARTBEAT_INTERVAL_MS) this._scheduleSend()
  }

  start (task: Extract<RunnerTask, { kind: 'run' | 'score' }>, pending: PendingTask): void {
    if (this._tasks.size === 0) this._busySinceMs = this._options.clock.nowMs()
    this._tasks.set(task.taskId, { pending })
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
  receive (sender: Sender, reports: readonly TaskReport[]): number[] {
    this._recordHeard(sender)
    this._loseTasksOfOthers(sender.incarnationId)
    return reports.filter(report => !this._apply(report)).map(({ taskId }) => taskId)
  }

  /** Gives up all tasks; the runner gets no others until it has answered a probe. */
  lose (reason: RunnerFailure): void {
    this._postponeProbe()
    this._loseTasks([...this._tasks.keys()], reason)
  }

  async flush (progress: Progress): Promise<void> {
    if (this._tasks.size === 0) return
    await this._link.call(flushTasksMethod, { term: this._options.term }, progress)
  }

  /** Applies a report; returns false if nobody waits for its task. */
  private _apply (report: TaskReport): boolean {
    const task = this._tasks.get(report.taskId)?.pending
    if (!task) return false
    switch (report.kind) {
      case 'progress':
        if (task.kind === 'run') task.onProgress(report.progress, this._ageMs(report.progress))
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

  /** Time since the runner received the last event of a report, which it repeats until this host has received it; at most by the transit time too short. */
  private _ageMs ({ lastEventAtMs }: RunProgress): number {
    const runnerNowMs = this._runnerClock.nowMs
    return runnerNowMs === undefined || lastEventAtMs === undefined ? 0 : Math.max(0, runnerNowMs - lastEventAtMs)
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
    const isDoubtful = this._outgoing.length > 0 && !this.isLive && !this._options.isOverloaded()
    if (isDoubtful && !(await this._confirmLive())) return
    do {
      const tasks = this._takeOutgoing(MAX_CALL_BYTES)
      this._recordSent(tasks, await this._call(tasks, SEND_TIMEOUT_MS))
    } while (this._outgoing.length > 0)
  }

  /**
   * Waits for an answer of a runner that may be frozen; returns false if there is
   * none, or if another call waits for it. What is held back meanwhile can be given to
   * another runner, as this one cannot start it later.
   */
  private async _confirmLive (): Promise<boolean> {
    if (this._isConfirming) return false
    this._isConfirming = true
    const outcome = await this._call([], CONFIRM_TIMEOUT_MS)
    this._isConfirming = false
    if (outcome.kind === 'assigned') return true
    this._recordSent(this._takeOutgoing(Number.POSITIVE_INFINITY), outcome)
    return false
  }

  /** What is to be sent next, without tasks that were given up before they were sent; one task at least, whatever its size. */
  private _takeOutgoing (maxBytes: number): RunnerTask[] {
    const tasks = this._outgoing.filter(({ kind, taskId }) => kind === 'stop' || kind === 'cancel' || this._tasks.has(taskId))
    let count = 0
    for (let bytes = 0; count < tasks.length && (count === 0 || bytes + bodyBytesOf(tasks[count]) <= maxBytes); count++) bytes += bodyBytesOf(tasks[count])
    this._outgoing = tasks.slice(count)
    return tasks.slice(0, count)
  }

  private _recordSent (tasks: readonly RunnerTask[], outcome: SendOutcome): void {
    if (outcome.kind === 'assigned') {
      this._probeAtMs = undefined
      this._probePauseMs = MIN_PROBE_PAUSE_MS
      return this._confirm(tasks, outcome.incarnationId)
    }
    // Nothing listens at the address, so that the process with all tasks has ended.
    if (outcome.reason === RunnerFailure.Unreachable) return this.lose(outcome.reason)
    this._postponeProbe()
    this._loseTasks(tasks.map(({ taskId }) => taskId), outcome.reason)
  }

  private async _call (tasks: RunnerTask[], timeoutMs: number): Promise<SendOutcome> {
    const { clock, scope, term, leaderAddress } = this._options
    const runnerClockMs = this._runnerClock.nowMs
    const progress = new Progress(clock, scope, clock.nowMs() + timeoutMs)
    this._pendingCallsCount++
    try {
      const outcome = await this._link.call(assignTasksMethod, { term, leaderAddress, ...(runnerClockMs === undefined ? {} : { runnerClockMs }), tasks }, progress)
      if (outcome.kind === 'replied' && 'incarnationId' in outcome.body) this._recordHeard(outcome.body)
      if (outcome.kind === 'replied' && outcome.body.kind === 'assigned') return { kind: 'assigned', incarnationId: outcome.body.incarnationId }
      return { kind: 'failed', reason: failureOf(outcome) }
    } finally {
      this._pendingCallsCount--
    }
  }

  /** A message without `leaderHeardAtMs` is taken for the answer to one of the leader. */
  private _recordHeard ({ incarnationId, runnerClockMs, leaderHeardAtMs = runnerClockMs }: Sender): void {
    this._heardAtMs = this._options.clock.nowMs()
    this._isReached = runnerClockMs - leaderHeardAtMs <= LIVE_MS
    this._runnerClock.record(incarnationId, runnerClockMs)
  }

  private _confirm (tasks: readonly RunnerTask[], incarnationId: string): void {
    for (const { taskId } of tasks) {
      const task = this._tasks.get(taskId)
      if (task) task.incarnationId = incarnationId
    }
    this._loseTasksOfOthers(incarnationId)
  }

  /** Gives up the tasks that an earlier process of the runner had. */
  private _loseTasksOfOthers (incarnationId: string): void {
    const lost = [...this._tasks].filter(([, task]) => task.incarnationId !== undefined && task.incarnationId !== incarnationId)
    if (lost.length > 0) this._loseTasks(lost.map(([taskId]) => taskId), RunnerFailure.Restarted)
  }

  private _loseTasks (taskIds: readonly number[], reason: RunnerFailure): void {
    const lost = taskIds.flatMap(taskId => this._tasks.get(taskId) ?? [])
    for (const taskId of taskIds) this._tasks.delete(taskId)
    this._options.onLost(this, reason, lost.length)
    for (const { pending } of lost) pending.settle({ kind: 'interrupted', reason })
  }

  private _postponeProbe (): void {
    this._probeAtMs = this._options.clock.nowMs() + this._probePauseMs
    this._probePauseMs = Math.min(MAX_PROBE_PAUSE_MS, 2 * this._probePauseMs)
  }
}

function bodyBytesOf (task: RunnerTask | undefined): number {
  return task?.kind === 'run' ? task.request.body.length : 0
}

function failureOf (outcome: CallOutcome<AssignTasksReply>): RunnerFailure {
  switch (outcome.kind) {
    case 'unserved':
      return RunnerFailure.Unreachable
    case 'lost':
      return RunnerFailure.Unanswered
    case 'replied':
      return refusalOf(outcome.body)
    default:
      return unreachable(outcome)
  }
}

function refusalOf ({ kind }: AssignTasksReply): RunnerFailure {
  if (kind === 'outdated') return RunnerFailure.Outdated
  return kind === 'stopping' ? RunnerFailure.Stopping : RunnerFailure.StaleTerm
}
