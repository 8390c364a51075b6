/**
 * The tasks that this host runs for one leader in one term, and the reports on them.
 * Reports are sent one call at a time and repeated until the leader has received them.
 * A timely reply renews the lease on the tasks; without one, they are ended, because
 * the leader has given them to another host by then.
 */
import type { ItemRunRequest, RunnerTask, RunOutcome, TaskReport } from '../protocol/runnerTasks.js'
import type { RewardCall } from '../protocol/batches.js'
import type { PeerLinks } from '../replication/log/peerLinks.js'
import { reportTasksMethod } from '../transport/runnerMethods.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import { unreachable } from '../utils/errors.js'
import type { Logger } from '../utils/logger.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import { Signal } from '../utils/signal.js'
import type { Supervisor } from '../utils/supervisor.js'
import { BatchEvent } from './batchEvents.js'
import type { EngineRun, LocalExecutor } from './localExecutor.js'

/** Interval between reports while nothing urgent is to be reported. */
const REPORT_INTERVAL_MS = 150
/** Urgent reports wait this long for others, so that they share a message. */
const URGENT_DELAY_MS = 10
const REPORT_TIMEOUT_MS = 400
const RETRY_PAUSE_MS = 50
/** A host that has no contact to its leader for this long ends the tasks of the leader; shorter than the time after which the leader gives them to another host. */
export const LEASE_MS = 600
/** Reports are dropped this long after the lease has ended: the leader has repeated the work by then. */
const UNCONFIRMED_RETENTION_MS = 4_000
/** A host whose timers are later than this is overloaded. */
const LATE_MS = 60

export interface RunnerSessionOptions {
  clock: Clock
  logger: Logger
  supervisor: Supervisor
  links: PeerLinks
  executor: LocalExecutor
  /** The id of this host, as the leader knows it. */
  hostId: string
  /** New with every start of the process. */
  incarnationId: string
  term: number
  leaderAddress: string
}

interface Task {
  scope: Scope
  /** Undefined for reward calls. */
  run?: EngineRun
}

export class RunnerSession {
  readonly term: number
  /** Whether the timers of this host were late at the last report. */
  isLate = false
  private readonly _options: RunnerSessionOptions
  private readonly _supervisor: Supervisor
  private readonly _tasks = new Map<number, Task>()
  /** Reports that the leader has not confirmed. */
  private _unconfirmed: TaskReport[] = []
  /** Point in time of the lease clock, which also counts the time for which the machine was suspended. */
  private _leaseEndsAtMs: number
  /** Point in time of the lease clock. */
  private _leaderHeardAtMs: number
  private _isUrgent = false
  private readonly _changed = new Signal()
  /** Notified when the leader has received a report. */
  private readonly _confirmed = new Signal()

  constructor (options: RunnerSessionOptions) {
    this._options = options
    this.term = options.term
    this._leaderHeardAtMs = options.clock.leaseNowMs()
    this._leaseEndsAtMs = this._leaderHeardAtMs + LEASE_MS
    this._supervisor = options.supervisor.child(`tasks of term ${options.term}`)
    this._supervisor.spawn('reports', scope => this._reportUntilClosed(scope))
  }

  /** Whether the leader has not been heard of for so long that any other one may take its place. */
  get isAbandoned (): boolean {
    return this._options.clock.leaseNowMs() >= this._leaseEndsAtMs + UNCONFIRMED_RETENTION_MS
  }

  private get _holdsLease (): boolean {
    return this._options.clock.leaseNowMs() < this._leaseEndsAtMs
  }

  /** Records a message of the leader. */
  recordHeard (): void {
    this._leaderHeardAtMs = this._options.clock.leaseNowMs()
  }

  assign (task: RunnerTask): void {
    const { clock } = this._options
    this._checkLease()
    // A message of the leader shows that it still counts on this host.
    this._leaseEndsAtMs = Math.max(this._leaseEndsAtMs, clock.leaseNowMs() + LEASE_MS)
    switch (task.kind) {
      case 'run':
        return this._startRun(task.taskId, task.request, clock.nowMs() + task.abandonInMs)
      case 'score':
        return this._startScoring(task.taskId, task.reward, clock.nowMs() + task.abandonInMs)
      case 'stop':
        this._tasks.get(task.taskId)?.run?.stop()
        return
      case 'cancel':
        return this._cancel(task.taskId)
      default:
        unreachable(task)
    }
  }

  /** Reports all events received so far; resolves when the leader has them. */
  async flush (progress: Progress): Promise<void> {
    for (const { run } of this._tasks.values()) run?.received.completePart()
    await this._whenConfirmed(progress)
  }

  /** Ends all tasks as interrupted; resolves when the leader knows. */
  async handBack (progress: Progress): Promise<void> {
    this._interruptAll('the host is stopping')
    await this._whenConfirmed(progress)
  }

  /** Drops all tasks; their leader does not lead any more. */
  end (reason: string): void {
    if (this._tasks.size > 0) this._options.logger.event(BatchEvent.TasksDropped, { term: this.term, tasksCount: this._tasks.size, reason })
    this._tasks.clear()
    this._unconfirmed = []
    this._supervisor.scope.close(reason)
    this._confirmed.notify()
  }

  private _startRun (taskId: number, request: ItemRunRequest, abandonAtMs: number): void {
    this._spawn(taskId, async scope => {
      const run = this._options.executor.hold(request, abandonAtMs, scope, received => { if (received.hasPart) this._reportSoon() })
      const task = this._tasks.get(taskId)
      if (task) task.run = run
      const outcome = await run.outcome
      this._recordRan(taskId, outcome)
    })
  }

  private _startScoring (taskId: number, reward: RewardCall, abandonAtMs: number): void {
    this._spawn(taskId, async scope => {
      const score = await this._options.executor.score(reward, abandonAtMs, scope, () => this._holdsLease)
      if (this._tasks.delete(taskId)) this._add({ kind: 'scored', taskId, score })
    })
  }

  private _spawn (taskId: number, task: (scope: Scope) => Promise<void>): void {
    if (this._tasks.has(taskId)) return
    const entry: Task = { scope: this._supervisor.scope }
    this._tasks.set(taskId, entry)
    entry.scope = this._supervisor.spawn(`task ${taskId}`, task)
    this._changed.notify()
  }

  private _recordRan (taskId: number, outcome: RunOutcome): void {
    const task = this._tasks.get(taskId)
    if (!task) return
    this._takeProgress(taskId, task)
    this._tasks.delete(taskId)
    this._add({ kind: 'ran', taskId, outcome })
  }

  private _cancel (taskId: number): void {
    const task = this._tasks.get(taskId)
    this._tasks.delete(taskId)
    task?.scope.close('cancelled by the leader')
  }

  private _interruptAll (reason: string): void {
    for (const [taskId, task] of [...this._tasks]) {
      task.run?.received.completePart()
      if (task.run) this._recordRan(taskId, { kind: 'interrupted', reason })
      else this._add({ kind: 'scored', taskId, score: { kind: 'interrupted', reason } })
      this._tasks.delete(taskId)
      task.scope.close(reason)
    }
  }

  private _add (report: TaskReport): void {
    this._unconfirmed.push(report)
    this._reportSoon()
  }

  private _reportSoon (): void {
    this._isUrgent = true
    this._changed.notify()
  }

  private _takeProgress (taskId: number, { run }: Task): void {
    const progress = run?.received.take()
    if (progress) this._unconfirmed.push({ kind: 'progress', taskId, progress })
  }

  /** Waits until the leader has received everything; returns early if the session ends, as the leader does not lead any more. */
  private async _whenConfirmed (progress: Progress): Promise<void> {
    this._reportSoon()
    do {
      if (this._supervisor.scope.isClosed || !(await this._confirmed.wait(progress.scope, progress))) return
    } while (this._unconfirmed.length > 0)
  }

  private async _reportUntilClosed (scope: Scope): Promise<void> {
    const { clock } = this._options
    for (;;) {
      while (this._tasks.size === 0 && this._unconfirmed.length === 0 && !this._isUrgent) await this._changed.wait(scope)
      await this._whenDue(scope)
      if (!(await this._report(scope))) await sleepUntil(clock, scope, clock.nowMs() + RETRY_PAUSE_MS)
    }
  }

  /** Waits until the next report is due, which is soon after something urgent. */
  private async _whenDue (scope: Scope): Promise<void> {
    const { clock } = this._options
    let dueAtMs = clock.nowMs() + REPORT_INTERVAL_MS
    while (!this._isUrgent) {
      if (!(await this._changed.wait(scope, { clock, deadlineMs: dueAtMs }))) break
    }
    if (this._isUrgent) {
      dueAtMs = clock.nowMs() + URGENT_DELAY_MS
      await sleepUntil(clock, scope, dueAtMs)
    }
    this.isLate = clock.nowMs() - dueAtMs > LATE_MS
  }

  /** Sends everything that the leader does not know; returns false if the leader did not receive it. */
  private async _report (scope: Scope): Promise<boolean> {
    const { clock, links, leaderAddress, hostId: runnerId, incarnationId } = this._options
    this._checkLease()
    for (const [taskId, task] of this._tasks) this._takeProgress(taskId, task)
    this._isUrgent = false
    const reports = [...this._unconfirmed]
    const sentAtMs = clock.leaseNowMs()
    const isLeased = this._tasks.size > 0 && this._holdsLease
    const timeoutMs = Math.min(REPORT_TIMEOUT_MS, isLeased ? this._leaseEndsAtMs - sentAtMs : Number.POSITIVE_INFINITY)
    const progress = new Progress(clock, scope, clock.nowMs() + timeoutMs)
    const outcome = await links.to({ peerAddress: leaderAddress }).call(reportTasksMethod, { term: this.term, runnerId, incarnationId, runnerClockMs: sentAtMs, leaderHeardAtMs: this._leaderHeardAtMs, reports }, progress)
    if (outcome.kind === 'replied' && outcome.body.kind === 'notLeader') {
      this.end('the leader no longer leads')
      scope.throwIfClosed()
    }
    if (outcome.kind !== 'replied' || outcome.body.kind !== 'received') {
      this._checkLease()
      return false
    }
    this.recordHeard()
    this._leaseEndsAtMs = Math.max(this._leaseEndsAtMs, sentAtMs + LEASE_MS)
    this._unconfirmed = this._unconfirmed.slice(reports.length)
    for (const taskId of outcome.body.unknownTaskIds) this._cancel(taskId)
    this._confirmed.notify()
    return true
  }

  /** Ends all tasks once their lease has ended, so that it cannot be renewed: the leader does not name the tasks that it gave to another host. */
  private _checkLease (): void {
    if (this.isAbandoned) this._unconfirmed = []
    if (this._holdsLease || this._tasks.size === 0) return
    const reason = 'no contact to the leader'
    this._options.logger.event(BatchEvent.TasksDropped, { term: this.term, tasksCount: this._tasks.size, reason })
    this._interruptAll(reason)
  }
}
