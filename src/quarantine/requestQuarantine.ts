/**
 * Keeps requests that end endpoints away from them (a query of death: one caller
 * that repeats one takes a whole service from everybody). An endpoint's end makes
 * a suspect of all that ran there; an answer clears a request at once and
 * everywhere; three ends condemn it, on all hosts. With two ends a request goes on
 * alone among its like at an endpoint, so that the next end tells which of them it was.
 *
 * Measured by the model in tests/fleet/deadlyRequest (seed 11; one such request
 * each 0.7 s before four endpoints, 50 others a second): of the others 73 % were
 * served without this, 40 endpoints ended in 15 s.
 */
import { LRUCache } from 'lru-cache'
import type { EndpointClient, EndpointOutcome, ItemOutcome } from '../endpoints/endpointClient.js'
import type { FleetView } from '../fleet/fleetView.js'
import type { FleetEndpoint } from '../protocol/fleet.js'
import { CONDEMNING_ENDS_COUNT, QUARANTINE_MS, QuarantineVerdict, type QuarantineNotice, type RepeatedParts } from '../protocol/quarantine.js'
import type { Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import { RepeatedNews } from '../utils/repeatedNews.js'
import type { Supervisor } from '../utils/supervisor.js'
import { EndpointRuns, type EndpointRun } from './endpointRuns.js'
import { QuarantineEvent } from './quarantineEvents.js'
import { RequestIdentity } from './requestIdentity.js'
import { SuspectReports, type SuspectReportsParts } from './suspectReports.js'

/** Ends that this host saw and no control host has told of yet. */
const MAX_OWN_SUSPECTS_COUNT = 1_024
/**
 * Answers that are remembered, and how long: of a request that many callers send,
 * some are answered within a second or two of an end that it shared. Longer, and
 * one that turns deadly would be excused for as long.
 */
const MAX_ANSWERED_COUNT = 1_024
const ANSWERED_KEPT_MS = 2_000
/** With so many ends a request runs at an endpoint only while no other of its kind does, from this host. */
const PROBATION_ENDS_COUNT = 2

export enum RequestStanding {
  Free = 'free',
  /** An endpoint ended under it: not beside another such request if that can be. */
  Suspected = 'suspected',
  /** One end more condemns it: alone among its like. */
  OnProbation = 'on_probation',
  /** Goes to no endpoint. */
  Condemned = 'condemned'
}

export interface RequestQuarantineParts {
  view: FleetView
  clock: Clock
  client: Pick<EndpointClient, 'isListening'>
  supervisor: Supervisor
  logger: Logger
  metrics: Metrics
  submit: SuspectReportsParts['submit']
}

/** What ends a run without an answer. */
export type UnansweredOutcome = Exclude<EndpointOutcome | ItemOutcome, { kind: 'answered' | 'finished' | 'failed' | 'impossible' }>

/** A request while it runs at an endpoint. */
export interface QuarantinedRun extends EndpointRun {
  readonly standing: RequestStanding
}

export class RequestQuarantine {
  private readonly _parts: RequestQuarantineParts
  private readonly _runs: EndpointRuns
  private readonly _reports: SuspectReports
  /** By digest, the endpoints whose ends this host saw. */
  private readonly _ownEnds = new LRUCache<string, Set<string>>({ max: MAX_OWN_SUSPECTS_COUNT })
  /** By digest, when an endpoint last answered it. */
  private readonly _answeredAtMs = new LRUCache<string, number>({ max: MAX_ANSWERED_COUNT })
  /** Suspects that run now, by endpoint. */
  private readonly _riskyCounts = new Map<string, number>()
  private readonly _heldBackNews: RepeatedNews
  /** Requests on probation that run now, by endpoint. */
  private readonly _onProbation = new Map<string, QuarantinedRun>()

  constructor (parts: RequestQuarantineParts) {
    this._parts = parts
    const { view, clock, client, supervisor, logger, submit } = parts
    this._heldBackNews = new RepeatedNews(clock)
    this._runs = new EndpointRuns({ view, clock, client, supervisor, onEnded: (endpoint, identities) => this._onEnded(endpoint, identities) })
    this._reports = new SuspectReports({ clock, logger, submit })
    view.quarantine.onNews(notice => this._onNotice(notice))
  }

  start (): void {
    this._parts.supervisor.spawn('reports of ended endpoints', scope => this._reports.run(scope))
  }

  identify (request: RepeatedParts): RequestIdentity {
    return new RequestIdentity(request)
  }

  standingOf (identity: RequestIdentity): RequestStanding {
    if (this._parts.view.quarantine.isEmpty && this._ownEnds.size === 0) return RequestStanding.Free
    const endsCount = this._endsCount(identity.digest)
    if (endsCount >= CONDEMNING_ENDS_COUNT) return RequestStanding.Condemned
    if (endsCount >= PROBATION_ENDS_COUNT) return RequestStanding.OnProbation
    return endsCount > 0 ? RequestStanding.Suspected : RequestStanding.Free
  }

  /** False while another request on probation runs there from this host: the next end is to tell which it was. */
  mayBegin (standing: RequestStanding, { endpointId }: FleetEndpoint): boolean {
    return standing !== RequestStanding.OnProbation || !this._onProbation.has(endpointId)
  }

  /** Runs that are remembered. */
  get runsCount (): number {
    return this._runs.count
  }

  /** Endpoints at which this host runs suspects: others had better go elsewhere. */
  riskyEndpointIds (): ReadonlySet<string> {
    return new Set(this._riskyCounts.keys())
  }

  begin (identity: RequestIdentity, endpoint: FleetEndpoint): QuarantinedRun {
    const standing = this.standingOf(identity)
    if (standing !== RequestStanding.Free) this._countRisk(endpoint.endpointId, 1)
    const run = Object.assign(this._runs.begin(endpoint, identity), { standing })
    if (standing === RequestStanding.OnProbation) this._onProbation.set(endpoint.endpointId, run)
    return run
  }

  /** An endpoint answered with an error of its own. It may not have come to what ends it: that clears nothing. */
  answeredWithError (run: QuarantinedRun): void {
    this._end(run)
    this._runs.done(run)
  }

  /** An endpoint did the request, and outlived it. */
  answered (run: QuarantinedRun): void {
    this._end(run)
    this._runs.done(run)
    const { digest } = run.identity
    this._answeredAtMs.set(digest, this._parts.clock.nowMs())
    const told = this._parts.view.quarantine.get(digest)
    const isSuspected = told !== undefined && told.verdict !== QuarantineVerdict.Cleared
    const hadOwn = this._ownEnds.delete(digest)
    if (!hadOwn && !isSuspected) return
    this._reports.cleared(digest, isSuspected)
  }

  /** The try brought no answer. */
  failed (run: QuarantinedRun, outcome: UnansweredOutcome): void {
    this._end(run)
    const { endpoint } = run
    if (outcome.kind === 'broken' && outcome.isConnectionLost === true) return this._runs.lost(run)
    if (outcome.kind === 'broken') return this._runs.left(run)
    this._runs.done(run)
    const isGone = outcome.kind === 'misdirected' || (outcome.kind === 'unreached' && outcome.isRefused === true)
    if (isGone) this._runs.isGone(endpoint)
  }

  /** This host gave the run up. */
  left (run: QuarantinedRun): void {
    this._end(run)
    this._runs.left(run)
  }

  /** A condemned request came again and goes to no endpoint. */
  noteHeldBack (identity: RequestIdentity, fields: { attemptId: string, route: string }): void {
    const { logger, metrics, view } = this._parts
    const { digest } = identity
    metrics.count(MetricName.QuarantineHeldBack)
    if (!this._heldBackNews.isNews(digest)) return
    const endpointIds = view.quarantine.get(digest)?.endpointIds ?? [...this._ownEnds.get(digest) ?? []]
    logger.event(QuarantineEvent.SendHeldBack, { digest, endpointIds, ...fields })
  }

  /** Ends that count against a request, by what this host was told and what it saw besides. */
  private _endsCount (digest: string): number {
    const told = this._parts.view.quarantine.get(digest)
    const own = this._ownEnds.get(digest)
    const unnoted = [...own ?? []].filter(endpointId => told?.endpointIds.includes(endpointId) !== true).length
    return this._toldCount(told, unnoted) + unnoted
  }

  private _toldCount (told: QuarantineNotice | undefined, unnoted: number): number {
    if (!told || told.verdict === QuarantineVerdict.Cleared) return 0
    const isExpired = this._parts.clock.wallMs() - told.endedAtMs > QUARANTINE_MS
    const { length } = told.endpointIds
    if (told.verdict === QuarantineVerdict.Condemned) return isExpired && unnoted === 0 ? CONDEMNING_ENDS_COUNT - 1 : length
    // As many as condemn, and yet not condemned: others account for them.
    return isExpired ? 0 : Math.min(length, CONDEMNING_ENDS_COUNT - 1)
  }

  private _onEnded (endpoint: FleetEndpoint, identities: RequestIdentity[]): void {
    const { clock, logger, metrics } = this._parts
    const nowMs = clock.nowMs()
    const digests = [...new Set(identities.map(({ digest }) => digest))]
    const suspects = digests.filter(digest => nowMs - (this._answeredAtMs.get(digest) ?? Number.NEGATIVE_INFINITY) > ANSWERED_KEPT_MS)
    logger.event(QuarantineEvent.EndpointEnded, { endpointId: endpoint.endpointId, service: endpoint.service, address: endpoint.address, suspects, answeredLatelyCount: digests.length - suspects.length })
    metrics.count(MetricName.QuarantineEndpointEnded, { pool: endpoint.service })
    for (const digest of suspects) this._suspect(digest, endpoint.endpointId)
  }

  private _suspect (digest: string, endpointId: string): void {
    const own = this._ownEnds.get(digest) ?? new Set()
    own.add(endpointId)
    this._ownEnds.set(digest, own)
    const endsCount = this._endsCount(digest)
    this._reports.ended(endpointId, digest, endsCount === 1)
    this._note(endsCount >= CONDEMNING_ENDS_COUNT ? QuarantineVerdict.Condemned : QuarantineVerdict.Suspected, digest, [...own], 'seen here')
  }

  private _onNotice ({ digest, verdict, endpointIds }: QuarantineNotice): void {
    if (verdict === QuarantineVerdict.Cleared) this._ownEnds.delete(digest)
    this._note(verdict, digest, endpointIds, 'told')
    this._parts.metrics.gauge(MetricName.QuarantineCondemned, this._parts.view.quarantine.condemnedDigests().length)
  }

  private _note (verdict: QuarantineVerdict, digest: string, endpointIds: string[], source: string): void {
    const event = {
      [QuarantineVerdict.Cleared]: QuarantineEvent.RequestCleared,
      [QuarantineVerdict.Suspected]: QuarantineEvent.RequestSuspected,
      [QuarantineVerdict.Condemned]: QuarantineEvent.RequestCondemned
    }[verdict]
    this._parts.logger.event(event, { digest, endpointIds, source })
    this._parts.metrics.count(MetricName.QuarantineVerdict, { verdict })
  }

  private _end (run: QuarantinedRun): void {
    const { endpointId } = run.endpoint
    if (run.standing !== RequestStanding.Free) this._countRisk(endpointId, -1)
    if (this._onProbation.get(endpointId) === run) this._onProbation.delete(endpointId)
  }

  private _countRisk (endpointId: string, change: number): void {
    const count = (this._riskyCounts.get(endpointId) ?? 0) + change
    if (count > 0) this._riskyCounts.set(endpointId, count)
    else this._riskyCounts.delete(endpointId)
  }
}
