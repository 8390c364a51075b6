/**
 * The store hosts that run items for this leader, so that the throughput of the store
 * is not limited by the processor of one host. The leader decides which item runs at
 * which engine; a runner reads the events, checks and compresses them, makes the reward
 * calls, and reports. Without other hosts, the leader runs items itself by the same code.
 *
 * All runs at one engine go through the same host, in the data centre of the engine if
 * possible: events then cross data centres compressed and in few messages, and no
 * further connections to the engine are opened.
 */
import type { RewardCall } from '../protocol/batches.js'
import { HostRole, type FleetEndpoint } from '../protocol/fleet.js'
import type { ItemRunRequest, RewardScore, RunOutcome } from '../protocol/runnerTasks.js'
import type { FleetView } from '../fleet/fleetView.js'
import type { PeerLinks } from '../replication/log/peerLinks.js'
import type { TasksReport } from '../transport/runnerMethods.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import { minBy } from '../utils/minBy.js'
import type { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import { BatchEvent } from './batchEvents.js'
import type { ItemExecutor, ProgressListener, StartedRun } from './itemExecutor.js'
import { LEASE_MS } from './runnerSession.js'
import { RemoteRunner, RunnerFailure, type RemoteRunnerOptions } from './remoteRunner.js'

/** Interval for checking for silent runners. */
const CHECK_INTERVAL_MS = 100
/** A runner with tasks that reports nothing for this long is given up: its lease on them has ended, with a margin for clock rates. */
const SILENT_MS = LEASE_MS + 100
/** Runners without tasks are watched until this long after the last task was given to any: longer than a trainer takes between two steps. */
const WATCHED_AFTER_TASK_MS = 10_000
/** A host makes reward calls while it has no more tasks than this multiple of the mean, and a few more (consistent hashing with bounded loads). */
const MAX_SCORING_LOAD = 1.25
const SCORING_ALLOWANCE_COUNT = 4
/** A check later than this shows that this host was busy or frozen itself, so that reports may be waiting to be read. */
const MAX_CHECK_DELAY_MS = 100

export interface RunnerPoolOptions {
  clock: Clock
  logger: Logger
  metrics: Metrics
  view: FleetView
  links: PeerLinks
  /** Executes on this host. */
  local: ItemExecutor
  hostId: string
  dataCentre: string
  peerAddress: string
  term: number
  /** Closes with the leadership. */
  scope: Scope
  /** Whether no other host can lead yet. A leader that wakes from a suspension learns only some messages later that another one has taken its place. */
  holdsLease: () => boolean
  /** Whether the processor of this host is overloaded. */
  isOverloaded: () => boolean
}

export class RunnerPool implements ItemExecutor {
  private readonly _options: RunnerPoolOptions
  private readonly _runnerOptions: RemoteRunnerOptions
  private readonly _runners = new Map<string, RemoteRunner>()
  /** The runner of each engine. */
  private readonly _runnerOfEngine = new Map<string, RemoteRunner>()
  private _lastTaskId = 0
  private _lastTaskAtMs = Number.NEGATIVE_INFINITY

  constructor (options: RunnerPoolOptions) {
    this._options = options
    const { clock, scope, links, term, peerAddress, isOverloaded } = options
    this._runnerOptions = { clock, scope, links, term, leaderAddress: peerAddress, isOverloaded, onLost: (runner, reason, tasksCount) => this._recordLoss(runner, reason, tasksCount) }
  }

  get term (): number {
    return this._options.term
  }

  /** Announces the term to all runners, which makes those that answer usable; waits for the answers until the deadline. */
  async announce (progress: Progress): Promise<void> {
    await progress.race(Promise.all(this._present().map(runner => runner.announce())))
  }

  /** Watches the runners until the scope closes. */
  async watch (scope: Scope): Promise<void> {
    const { clock } = this._options
    for (;;) {
      const checkAtMs = clock.nowMs() + CHECK_INTERVAL_MS
      await sleepUntil(clock, scope, checkAtMs)
      if (clock.nowMs() - checkAtMs <= MAX_CHECK_DELAY_MS) this._checkRunners()
    }
  }

  run (request: ItemRunRequest, abandonAtMs: number, scope: Scope, onProgress: ProgressListener): StartedRun {
    const runner = this._runnerFor(request.endpoint)
    if (!runner) return this._runLocally(request, abandonAtMs, scope, onProgress)
    const taskId = this._nextTaskId()
    let settle: (outcome: RunOutcome) => void = () => {}
    const ended = new Promise<RunOutcome>(resolve => { settle = resolve })
    runner.start({ kind: 'run', taskId, abandonInMs: this._remainingMs(abandonAtMs), request }, { kind: 'run', onProgress, settle })
    return { runnerId: runner.hostId, outcome: this._awaitTask(runner, taskId, ended, scope), stop: () => runner.stop(taskId), giveUp: () => settle({ kind: 'moved' }) }
  }

  async score (reward: RewardCall, abandonAtMs: number, scope: Scope): Promise<RewardScore> {
    const runner = scoringRunner(this._trusted())
    if (!runner) return await this._options.local.score(reward, abandonAtMs, scope, this._options.holdsLease)
    const taskId = this._nextTaskId()
    const ended = new Promise<RewardScore>(resolve => {
      runner.start({ kind: 'score', taskId, abandonInMs: this._remainingMs(abandonAtMs), reward }, { kind: 'score', settle: resolve })
    })
    return await this._awaitTask(runner, taskId, ended, scope)
  }

  async flush (progress: Progress): Promise<void> {
    await Promise.all([this._options.local.flush(progress), ...[...this._runners.values()].map(runner => runner.flush(progress))])
  }

  /** Applies the reports of a runner; returns the ids of tasks that the runner should end. */
  receive ({ runnerId, reports, ...sender }: Omit<TasksReport, 'term'>): number[] {
    const runner = this._runners.get(runnerId)
    return runner ? runner.receive(sender, reports) : reports.map(({ taskId }) => taskId)
  }

  /** Number of tasks of each runner, by host id. */
  tasksCounts (): Map<string, number> {
    return new Map([...this._runners.values()].map(({ hostId, tasksCount }) => [hostId, tasksCount]))
  }

  /** Whether a store host may be given tasks. */
  isUsable (hostId: string): boolean {
    return this._runners.get(hostId)?.isUsable === true
  }

  private _runLocally (request: ItemRunRequest, abandonAtMs: number, scope: Scope, onProgress: ProgressListener): StartedRun {
    const { local, holdsLease } = this._options
    if (holdsLease()) return local.run(request, abandonAtMs, scope, onProgress)
    return { outcome: Promise.resolve({ kind: 'interrupted', reason: 'the lease on the leadership has ended' }), stop: () => {}, giveUp: () => {} }
  }

  private async _awaitTask<T> (runner: RemoteRunner, taskId: number, ended: Promise<T>, scope: Scope): Promise<T> {
    try {
      return await scope.race(ended)
    } finally {
      runner.cancel(taskId)
    }
  }

  private _remainingMs (deadlineMs: number): number {
    return Math.max(0, deadlineMs - this._options.clock.nowMs())
  }

  /** The host that runs items at an engine; undefined for this host. */
  private _runnerFor (endpoint: FleetEndpoint): RemoteRunner | undefined {
    const trusted = this._trusted()
    const present = this._runnerOfEngine.get(endpoint.endpointId)
    if (present && trusted.includes(present)) return present
    const runner = this._chooseRunner(endpoint.dataCentre, trusted)
    if (runner) this._runnerOfEngine.set(endpoint.endpointId, runner)
    return runner
  }

  private _chooseRunner (engineDataCentre: string, usable: RemoteRunner[]): RemoteRunner | undefined {
    const { dataCentre, isOverloaded } = this._options
    const inDataCentre = (wanted: string): RemoteRunner[] => usable.filter(runner => runner.dataCentre === wanted)
    const near = this._withFewestEngines(inDataCentre(engineDataCentre))
    if (near) return near
    if (engineDataCentre === dataCentre && !isOverloaded()) return undefined
    // Through a host beside the leader, the events cross data centres no more often than to the leader itself.
    return this._withFewestEngines(inDataCentre(dataCentre)) ?? this._withFewestEngines(usable)
  }

  private _withFewestEngines (runners: readonly RemoteRunner[]): RemoteRunner | undefined {
    const counts = new Map<RemoteRunner, number>()
    for (const runner of this._runnerOfEngine.values()) counts.set(runner, (counts.get(runner) ?? 0) + 1)
    return minBy(runners, runner => counts.get(runner) ?? 0)
  }

  private _nextTaskId (): number {
    this._lastTaskAtMs = this._options.clock.nowMs()
    return ++this._lastTaskId
  }

  /**
   * The runners to choose from: those heard of lately. A runner that is frozen or cut
   * off while it has no tasks would otherwise be the first choice for the next step.
   * If none was heard of lately, most likely this host was held up itself.
   */
  private _trusted (): RemoteRunner[] {
    const usable = this._usable()
    const live = usable.filter(({ isLive }) => isLive)
    return live.length === 0 || this._options.isOverloaded() ? usable : live
  }

  private _usable (): RemoteRunner[] {
    return this._present().filter(({ isUsable }) => isUsable)
  }

  /** The other store hosts that control hosts are connected to and that are not leaving. */
  private _present (): RemoteRunner[] {
    const { view, hostId: ownHostId } = this._options
    const hosts = view.hosts(HostRole.Store).filter(({ hostId, isServing }) => isServing && hostId !== ownHostId && !view.retirementOf(hostId))
    return hosts.flatMap(({ hostId, dataCentre, store }) => (store ? [this._runnerAt(hostId, store.peerAddress, dataCentre)] : []))
  }

  private _runnerAt (hostId: string, address: string, dataCentre: string): RemoteRunner {
    let runner = this._runners.get(hostId)
    if (runner?.address !== address) {
      runner?.lose(RunnerFailure.Moved)
      runner = new RemoteRunner(hostId, address, dataCentre, this._runnerOptions)
      this._runners.set(hostId, runner)
    }
    return runner
  }

  private _checkRunners (): void {
    const isWatched = this._options.clock.nowMs() < this._lastTaskAtMs + WATCHED_AFTER_TASK_MS
    for (const runner of new Set([...this._present(), ...this._runners.values()])) {
      if (runner.silentMs > SILENT_MS) runner.lose(RunnerFailure.Silent)
      runner.probeIfDue()
      if (isWatched) runner.heartbeatIfDue()
      this._options.metrics.gauge(MetricName.RunnerTasks, runner.tasksCount, { runner: runner.hostId })
    }
  }

  private _recordLoss ({ hostId }: RemoteRunner, reason: RunnerFailure, tasksCount: number): void {
    for (const [engineId, runner] of this._runnerOfEngine) {
      if (runner.hostId === hostId) this._runnerOfEngine.delete(engineId)
    }
    if (tasksCount === 0) return
    this._options.metrics.count(MetricName.RunnerLost, { reason })
    this._options.logger.event(BatchEvent.RunnerLost, { runnerId: hostId, reason, tasksCount })
  }
}

/**
 * The host that makes a reward call: the same one for all calls as long as it has not
 * clearly more tasks than the others, so that its connections to the endpoints stay warm.
 */
function scoringRunner (runners: readonly RemoteRunner[]): RemoteRunner | undefined {
  const tasksCount = runners.reduce((sum, runner) => sum + runner.tasksCount, 0)
  const maxTasksCount = MAX_SCORING_LOAD * tasksCount / Math.max(1, runners.length) + SCORING_ALLOWANCE_COUNT
  return minBy(runners.filter(runner => runner.tasksCount <= maxTasksCount), ({ scoringRank }) => scoringRank)
}
