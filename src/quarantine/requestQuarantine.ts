/**
 * Withholds requests that terminate endpoints (queries of death: a single caller
 * that repeats such a request makes a service unavailable to everybody). When an endpoint
 * terminates, all requests that ran at it become suspects; an answer clears a
 * request at once and on all hosts; three terminations condemn it on all hosts.
 * After two terminations a request is on probation: at most one such request runs
 * at an endpoint, so that the next termination identifies the culprit. Owed work is
 * neither suspected nor withheld; what ran beside it is, as if it had not been there.
 *
 * In the simulation of tests/fleet/deadlyRequest (seed 11; one such request every
 * 0.7 s at four endpoints, 50 other requests a second), without the quarantine 73 %
 * of the other requests were served and 40 endpoints terminated in 15 s.
 */
import { LRUCache } from 'lru-cache'
import type { EndpointClient, EndpointOutcome, ItemOutcome } from '../endpoints/endpointClient.js'
import type { FleetView } from '../fleet/fleetView.js'
import type { FleetEndpoint } from '../protocol/fleet.js'
import { QUARANTINE_THRESHOLD_COUNT, QUARANTINE_MS, QuarantineVerdict, type QuarantineEntry, type RequestContent } from '../protocol/quarantine.js'
import type { Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import { LogThrottle } from '../utils/logThrottle.js'
import type { Supervisor } from '../utils/supervisor.js'
import { EndpointRuns, type EndpointRun } from './endpointRuns.js'
import { QuarantineEvent } from './quarantineEvents.js'
import { RequestIdentity } from './requestIdentity.js'
import { SuspectReports, type SuspectReportsOptions } from './suspectReports.js'

/** Suspects seen by this host that no control host has reported yet. */
const MAX_OWN_SUSPECTS_COUNT = 1_024
/**
 * How many recent answers are kept, and for how long. A request that was answered
 * recently is not suspected: of a request that many callers send, some instances are answered
 * within a second or two of a termination during which other instances ran. A longer retention
 * would protect a request that starts to terminate endpoints for that long.
 */
const MAX_ANSWERED_COUNT = 1_024
const ANSWER_RETENTION_MS = 2_000
/** From this number of terminations on, this host runs a request at an endpoint only while no other request on probation runs there. */
const PROBATION_TERMINATIONS_COUNT = 2

export enum QuarantineStatus {
  Free = 'free',
  /** An endpoint terminated while running the request; other requests avoid the endpoints where this request runs. */
  Suspected = 'suspected',
  /** One more termination condemns the request; at most one request on probation runs at an endpoint. */
  OnProbation = 'on_probation',
  /** Sent to no endpoint. */
  Condemned = 'condemned'
}

export interface RequestQuarantineOptions {
  view: FleetView
  clock: Clock
  client: Pick<EndpointClient, 'isListening'>
  supervisor: Supervisor
  logger: Logger
  metrics: Metrics
  submit: SuspectReportsOptions['submit']
}

/** Outcomes of a run that got no answer. */
export type UnansweredOutcome = Exclude<EndpointOutcome | ItemOutcome, { kind: 'answered' | 'finished' | 'failed' | 'impossible' }>

/** A request that runs at an endpoint, with its status when it was started. */
export interface QuarantinedRun extends EndpointRun {
  readonly status: QuarantineStatus
}

export class RequestQuarantine {
  private readonly _options: RequestQuarantineOptions
  private readonly _runs: EndpointRuns
  private readonly _reports: SuspectReports
  /** By digest of the request, the ids of the endpoints that this host saw terminate while running the request. */
  private readonly _ownTerminations = new LRUCache<string, Set<string>>({ max: MAX_OWN_SUSPECTS_COUNT })
  /** By digest of the request, when an endpoint last answered the request. */
  private readonly _answeredAtMs = new LRUCache<string, number>({ max: MAX_ANSWERED_COUNT })
  /** Number of running requests that are suspected or on probation, by endpoint. */
  private readonly _riskyCounts = new Map<string, number>()
  private readonly _withheldLogThrottle: LogThrottle
  /** The running request on probation, by endpoint. */
  private readonly _probationRuns = new Map<string, QuarantinedRun>()

  constructor (options: RequestQuarantineOptions) {
    this._options = options
    const { view, clock, client, supervisor, logger, submit } = options
    this._withheldLogThrottle = new LogThrottle(clock)
    this._runs = new EndpointRuns({ view, clock, client, supervisor, onTerminated: (endpoint, identities) => this._onTerminated(endpoint, identities) })
    this._reports = new SuspectReports({ clock, logger, submit })
    view.quarantine.onUpdate(entry => this._onEntry(entry))
  }

  start (): void {
    this._options.supervisor.spawn('reports of terminated endpoints', scope => this._reports.run(scope))
  }

  /** @param isOwed whether it is work that was handed in for later */
  identify (request: RequestContent, isOwed = false): RequestIdentity {
    return new RequestIdentity(request, isOwed)
  }

  statusOf (identity: RequestIdentity): QuarantineStatus {
    if (identity.isOwed) return QuarantineStatus.Free
    if (this._options.view.quarantine.isEmpty && this._ownTerminations.size === 0) return QuarantineStatus.Free
    const terminationsCount = this._terminationsCount(identity.digest)
    if (terminationsCount >= QUARANTINE_THRESHOLD_COUNT) return QuarantineStatus.Condemned
    if (terminationsCount >= PROBATION_TERMINATIONS_COUNT) return QuarantineStatus.OnProbation
    return terminationsCount > 0 ? QuarantineStatus.Suspected : QuarantineStatus.Free
  }

  /** False while this host runs another request on probation at the endpoint, so that the next termination identifies the culprit. */
  mayStart (status: QuarantineStatus, { endpointId }: FleetEndpoint): boolean {
    return status !== QuarantineStatus.OnProbation || !this._probationRuns.has(endpointId)
  }

  /** Number of tracked runs. */
  get runsCount (): number {
    return this._runs.count
  }

  /** Endpoints where this host runs suspects, which other requests should avoid. */
  riskyEndpointIds (): ReadonlySet<string> {
    return new Set(this._riskyCounts.keys())
  }

  startRun (identity: RequestIdentity, endpoint: FleetEndpoint): QuarantinedRun {
    const status = this.statusOf(identity)
    if (status !== QuarantineStatus.Free) this._countRisk(endpoint.endpointId, 1)
    const run = Object.assign(this._runs.startRun(endpoint, identity), { status })
    if (status === QuarantineStatus.OnProbation) this._probationRuns.set(endpoint.endpointId, run)
    return run
  }

  /** Records an error answer. The error does not clear the request: the endpoint may have failed before it reached the part of the request that would terminate it. */
  answeredWithError (run: QuarantinedRun): void {
    this._release(run)
    this._runs.done(run)
  }

  /** Records that the endpoint completed the request and survived it, which clears the request. */
  answered (run: QuarantinedRun): void {
    this._release(run)
    this._runs.done(run)
    if (run.identity.isOwed) return
    const { digest } = run.identity
    this._answeredAtMs.set(digest, this._options.clock.nowMs())
    const entry = this._options.view.quarantine.get(digest)
    const isSuspected = entry !== undefined && entry.verdict !== QuarantineVerdict.Cleared
    const hadOwn = this._ownTerminations.delete(digest)
    if (!hadOwn && !isSuspected) return
    this._reports.cleared(digest, isSuspected)
  }

  /** Records that the run ended without an answer. */
  failed (run: QuarantinedRun, outcome: UnansweredOutcome): void {
    this._release(run)
    const { endpoint } = run
    if (outcome.kind === 'broken' && outcome.isConnectionLost === true) return this._runs.connectionLost(run)
    if (outcome.kind === 'broken') return this._runs.abandoned(run)
    this._runs.done(run)
    const isUnreachable = outcome.kind === 'misdirected' || (outcome.kind === 'unreached' && outcome.isRefused === true)
    if (isUnreachable) this._runs.endpointUnreachable(endpoint)
  }

  /** Records that this host no longer waits for the run. */
  abandoned (run: QuarantinedRun): void {
    this._release(run)
    this._runs.abandoned(run)
  }

  /** Counts a condemned request that was received again and is withheld; logs it at a limited rate. */
  recordWithheld (identity: RequestIdentity, fields: { attemptId: string, route: string }): void {
    const { logger, metrics, view } = this._options
    const { digest } = identity
    metrics.count(MetricName.QuarantineHeldBack)
    if (!this._withheldLogThrottle.shouldLog(digest)) return
    const endpointIds = view.quarantine.get(digest)?.endpointIds ?? [...this._ownTerminations.get(digest) ?? []]
    logger.event(QuarantineEvent.RequestWithheld, { digest, endpointIds, ...fields })
  }

  /** Terminations that count against a request: those reported by control hosts, and further terminations seen by this host. */
  private _terminationsCount (digest: string): number {
    const entry = this._options.view.quarantine.get(digest)
    const own = this._ownTerminations.get(digest)
    const unreportedCount = [...own ?? []].filter(endpointId => entry?.endpointIds.includes(endpointId) !== true).length
    return this._reportedCount(entry, unreportedCount) + unreportedCount
  }

  private _reportedCount (entry: QuarantineEntry | undefined, unreportedCount: number): number {
    if (!entry || entry.verdict === QuarantineVerdict.Cleared) return 0
    const isExpired = this._options.clock.wallMs() - entry.endedAtMs > QUARANTINE_MS
    const { length } = entry.endpointIds
    if (entry.verdict === QuarantineVerdict.Condemned) return isExpired && unreportedCount === 0 ? QUARANTINE_THRESHOLD_COUNT - 1 : length
    // Enough terminations to condemn the request, but it is not condemned: other requests account for these terminations.
    return isExpired ? 0 : Math.min(length, QUARANTINE_THRESHOLD_COUNT - 1)
  }

  private _onTerminated (endpoint: FleetEndpoint, identities: RequestIdentity[]): void {
    const { clock, logger, metrics } = this._options
    const nowMs = clock.nowMs()
    const owedCount = identities.filter(({ isOwed }) => isOwed).length
    const digests = [...new Set(identities.filter(({ isOwed }) => !isOwed).map(({ digest }) => digest))]
    const suspects = digests.filter(digest => nowMs - (this._answeredAtMs.get(digest) ?? Number.NEGATIVE_INFINITY) > ANSWER_RETENTION_MS)
    logger.event(QuarantineEvent.EndpointTerminated, { endpointId: endpoint.endpointId, service: endpoint.service, address: endpoint.address, suspects, answeredLatelyCount: digests.length - suspects.length, owedCount })
    metrics.count(MetricName.QuarantineEndpointEnded, { pool: endpoint.service })
    for (const digest of suspects) this._suspect(digest, endpoint.endpointId)
  }

  private _suspect (digest: string, endpointId: string): void {
    const own = this._ownTerminations.get(digest) ?? new Set()
    own.add(endpointId)
    this._ownTerminations.set(digest, own)
    const terminationsCount = this._terminationsCount(digest)
    this._reports.ended(endpointId, digest, terminationsCount === 1)
    this._logVerdict(terminationsCount >= QUARANTINE_THRESHOLD_COUNT ? QuarantineVerdict.Condemned : QuarantineVerdict.Suspected, digest, [...own], 'seen here')
  }

  private _onEntry ({ digest, verdict, endpointIds }: QuarantineEntry): void {
    if (verdict === QuarantineVerdict.Cleared) this._ownTerminations.delete(digest)
    this._logVerdict(verdict, digest, endpointIds, 'told')
    this._options.metrics.gauge(MetricName.QuarantineCondemned, this._options.view.quarantine.condemnedDigests().length)
  }

  private _logVerdict (verdict: QuarantineVerdict, digest: string, endpointIds: string[], source: string): void {
    const event = {
      [QuarantineVerdict.Cleared]: QuarantineEvent.RequestCleared,
      [QuarantineVerdict.Suspected]: QuarantineEvent.RequestSuspected,
      [QuarantineVerdict.Condemned]: QuarantineEvent.RequestCondemned
    }[verdict]
    this._options.logger.event(event, { digest, endpointIds, source })
    this._options.metrics.count(MetricName.QuarantineVerdict, { verdict })
  }

  private _release (run: QuarantinedRun): void {
    const { endpointId } = run.endpoint
    if (run.status !== QuarantineStatus.Free) this._countRisk(endpointId, -1)
    if (this._probationRuns.get(endpointId) === run) this._probationRuns.delete(endpointId)
  }

  private _countRisk (endpointId: string, change: number): void {
    const count = (this._riskyCounts.get(endpointId) ?? 0) + change
    if (count > 0) this._riskyCounts.set(endpointId, count)
    else this._riskyCounts.delete(endpointId)
  }
}
