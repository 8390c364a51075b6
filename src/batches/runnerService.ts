/**
 * Runs items for the leader of the batch store on this host. Holds the tasks of one
 * term; a later leader's first message ends the tasks of earlier terms.
 */
import { assignTasksMethod, flushTasksMethod, type AssignTasksReply, type TaskAssignment } from '../transport/runnerMethods.js'
import type { RpcHandlers } from '../transport/rpcPeer.js'
import { Progress } from '../utils/progress.js'
import { LEASE_MS, RunnerSession, type RunnerSessionOptions } from './runnerSession.js'

/** The part of the time of a flush call that is left for its reply. */
const FLUSH_MARGIN_MS = 50
/** Tasks of an older message are not started: the leader has given them up, and their batch may have ended. */
const MAX_ASSIGNMENT_AGE_MS = LEASE_MS

export type RunnerServiceOptions = Omit<RunnerSessionOptions, 'term' | 'leaderAddress'>

export class RunnerService {
  private readonly _options: RunnerServiceOptions
  private _session: RunnerSession | undefined
  private _isStopping = false

  constructor (options: RunnerServiceOptions) {
    this._options = options
  }

  /** Whether this host is behind with its own work for a leader, so that it reads events late. */
  get isLate (): boolean {
    return this._session?.isLate === true
  }

  serve (handlers: RpcHandlers): void {
    handlers.on(assignTasksMethod, assignment => this._assign(assignment))
    handlers.on(flushTasksMethod, async ({ term }, remainingMs) => {
      const { clock, supervisor } = this._options
      const progress = new Progress(clock, supervisor.scope, clock.nowMs() + Math.max(0, remainingMs - FLUSH_MARGIN_MS))
      if (this._session?.term === term) await this._session.flush(progress)
      return {}
    })
  }

  /** Hands all tasks back to the leader, with all events received so far, and accepts no further tasks. */
  async stop (progress: Progress): Promise<void> {
    this._isStopping = true
    await this._session?.handBack(progress)
  }

  private _assign ({ term, leaderAddress, runnerClockMs: sentAtMs, tasks }: TaskAssignment): AssignTasksReply {
    if (this._isStopping) return { kind: 'stopping' }
    const session = this._sessionOf(term, leaderAddress)
    if (session.term > term) return { kind: 'staleTerm', term: session.term }
    session.recordHeard()
    const { clock, incarnationId } = this._options
    const runnerClockMs = clock.leaseNowMs()
    const ageMs = sentAtMs === undefined ? Number.POSITIVE_INFINITY : runnerClockMs - sentAtMs
    if (tasks.length > 0 && ageMs > MAX_ASSIGNMENT_AGE_MS) return { kind: 'outdated', incarnationId, runnerClockMs }
    for (const task of tasks) session.assign(task)
    return { kind: 'assigned', incarnationId, runnerClockMs }
  }

  /** The session of a term; that of a later term if there is one. */
  private _sessionOf (term: number, leaderAddress: string): RunnerSession {
    if (this._session && this._session.term >= term && !this._session.isAbandoned) return this._session
    this._session?.end(`term ${term} has started`)
    const session = new RunnerSession({ ...this._options, term, leaderAddress })
    this._session = session
    return session
  }
}
