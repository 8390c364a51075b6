/**
 * Tracks the requests that this host runs at each endpoint and detects endpoints
 * that terminate meanwhile. A lost connection alone does not prove a termination: network
 * partitions, resets and drains lose connections as well. An endpoint counts as
 * terminated when its address refuses connections after connections to it were lost, or
 * when another incarnation of an endpoint has taken over the address.
 */
import { LRUCache } from 'lru-cache'
import { Listening, type EndpointClient } from '../endpoints/endpointClient.js'
import type { FleetView } from '../fleet/fleetView.js'
import { EndpointLifecycle, type FleetEndpoint } from '../protocol/fleet.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import type { Scope } from '../utils/scope.js'
import type { Supervisor } from '../utils/supervisor.js'
import type { RequestIdentity } from './requestIdentity.js'

/**
 * Times after the loss of a connection at which the address is checked: a process
 * that terminates closes its connections and its listening socket within
 * milliseconds, in any order; a process that takes longer is found by the second check.
 */
const CHECK_DELAYS_MS = [15, 200]
const CHECK_TIMEOUT_MS = 500
/** How long a run with a lost connection is kept, in case the endpoint turns out to have terminated: endpoints are back after some seconds. */
const LOST_RUN_RETENTION_MS = 3_000
/** How long an abandoned run is kept, as the run may still terminate the endpoint: terminations were seen 50 to 120 ms after the start of a run. */
const ABANDONED_RUN_RETENTION_MS = 300
/** Number of recently terminated endpoints that are remembered, so that a run whose connection is found lost afterwards is attributed to the termination. */
const MAX_TERMINATED_IDS_COUNT = 256

enum RunState {
  Open,
  /** The connection was lost before an answer. */
  Lost,
  /** This host stopped waiting for the answer. */
  Abandoned
}

/** A request that was sent to an endpoint. */
export interface EndpointRun {
  readonly endpoint: FleetEndpoint
  readonly identity: RequestIdentity
}

interface TrackedRun extends EndpointRun {
  state: RunState
  /** Other endpoints that had the same address when the connection was lost. */
  otherIdsAtLoss: string[]
}

export interface EndpointRunsOptions {
  view: FleetView
  clock: Clock
  client: Pick<EndpointClient, 'isListening'>
  supervisor: Supervisor
  /** Called once for each termination, and again for runs whose connections are found lost later. */
  onTerminated: (endpoint: FleetEndpoint, identities: RequestIdentity[]) => void
}

export class EndpointRuns {
  private readonly _options: EndpointRunsOptions
  /** Tracked runs, by the id of the endpoint. */
  private readonly _runs = new Map<string, Set<TrackedRun>>()
  private readonly _terminatedIds = new LRUCache<string, true>({ max: MAX_TERMINATED_IDS_COUNT })
  private readonly _checkedIds = new Set<string>()
  /** Tracked runs in the state `Lost`. */
  private _lostCount = 0

  constructor (options: EndpointRunsOptions) {
    this._options = options
    options.view.onChange(() => this._findReplacements())
  }

  /** Number of tracked runs, open or closed. */
  get count (): number {
    return [...this._runs.values()].reduce((sum, runs) => sum + runs.size, 0)
  }

  startRun (endpoint: FleetEndpoint, identity: RequestIdentity): EndpointRun {
    const run: TrackedRun = { endpoint, identity, state: RunState.Open, otherIdsAtLoss: [] }
    const runs = this._runs.get(endpoint.endpointId) ?? new Set()
    runs.add(run)
    this._runs.set(endpoint.endpointId, runs)
    return run
  }

  /** Stops tracking a run that was answered or that never ran. */
  done (run: EndpointRun): void {
    this._remove(run as TrackedRun)
  }

  /** Records that this host no longer waits for the run; the endpoint may continue it. */
  abandoned (run: EndpointRun): void {
    this._close(run as TrackedRun, RunState.Abandoned)
  }

  /** Records that the connection of the run was lost before an answer. */
  connectionLost (run: EndpointRun): void {
    const { endpoint } = run
    this._close(run as TrackedRun, RunState.Lost)
    if (this._terminatedIds.has(endpoint.endpointId)) this._endpointTerminated(endpoint)
    else this._startCheck(endpoint)
  }

  /** Records that a connection to the endpoint was refused, or that another endpoint has its address. */
  endpointUnreachable (endpoint: FleetEndpoint): void {
    if (this._closedRuns(endpoint.endpointId).length > 0) this._endpointTerminated(endpoint)
  }

  private _close (run: TrackedRun, state: RunState): void {
    if (run.state !== RunState.Open) return
    const { clock } = this._options
    run.state = state
    if (state === RunState.Lost) {
      this._lostCount++
      run.otherIdsAtLoss = this._otherIdsAt(run.endpoint)
    }
    const retentionMs = state === RunState.Lost ? LOST_RUN_RETENTION_MS : ABANDONED_RUN_RETENTION_MS
    clock.callAt(clock.nowMs() + retentionMs, () => this._remove(run))
  }

  private _remove (run: TrackedRun): void {
    const { endpointId } = run.endpoint
    const runs = this._runs.get(endpointId)
    if (!runs?.delete(run)) return
    if (run.state === RunState.Lost) this._lostCount--
    if (runs.size === 0) this._runs.delete(endpointId)
  }

  /** Runs that become suspects if the endpoint terminates now. */
  private _closedRuns (endpointId: string): TrackedRun[] {
    return [...this._runs.get(endpointId) ?? []].filter(({ state }) => state !== RunState.Open)
  }

  private _endpointTerminated (endpoint: FleetEndpoint): void {
    const { view, onTerminated } = this._options
    const runs = this._closedRuns(endpoint.endpointId)
    for (const run of runs) this._remove(run)
    // An endpoint that leaves may close connections of requests that the endpoint has not finished.
    if (view.isLeaving(endpoint)) return
    this._terminatedIds.set(endpoint.endpointId, true)
    if (runs.length > 0) onTerminated(endpoint, runs.map(({ identity }) => identity))
  }

  private _startCheck (endpoint: FleetEndpoint): void {
    const { endpointId } = endpoint
    if (this._checkedIds.has(endpointId)) return
    this._checkedIds.add(endpointId)
    this._options.supervisor.spawn(`check ${endpointId}`, async scope => {
      try {
        await this._check(endpoint, scope)
      } finally {
        this._checkedIds.delete(endpointId)
      }
    })
  }

  private async _check (endpoint: FleetEndpoint, scope: Scope): Promise<void> {
    const { clock, client } = this._options
    const lostAtMs = clock.nowMs()
    for (const delayMs of CHECK_DELAYS_MS) {
      await sleepUntil(clock, scope, lostAtMs + delayMs)
      if (this._closedRuns(endpoint.endpointId).length === 0) return
      const listening = await client.isListening(endpoint, clock.nowMs() + CHECK_TIMEOUT_MS, scope)
      if (listening === Listening.No) return this._endpointTerminated(endpoint)
    }
  }

  /** Among the addresses with lost runs, finds those that another endpoint has taken over. */
  private _findReplacements (): void {
    if (this._lostCount === 0) return
    for (const runs of [...this._runs.values()]) {
      const lost = [...runs].find(({ state }) => state === RunState.Lost)
      if (!lost) continue
      const isReplaced = this._otherIdsAt(lost.endpoint).some(endpointId => !lost.otherIdsAtLoss.includes(endpointId))
      if (isReplaced) this._endpointTerminated(lost.endpoint)
    }
  }

  private _otherIdsAt ({ address, endpointId }: FleetEndpoint): string[] {
    const others = this._options.view.ready().filter(other => other.address === address && other.endpointId !== endpointId && other.lifecycle === EndpointLifecycle.Ready)
    return others.map(other => other.endpointId)
  }
}
