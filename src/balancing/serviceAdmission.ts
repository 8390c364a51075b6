/**
 * Admission to the services of one host: counts what the host sees of each service,
 * sends the counts to the holder of the service's figures while the service lacks
 * room, and lets requests in by the shares that follow from the sum over all hosts.
 * Without a recent sum, and while there is room, every request is let in and the
 * host decides by its own calls as it tries endpoints.
 */
import { admissionLevelOf, type AdmissionLevel } from './admissionLevel.js'
import { BalancingEvent } from './balancingEvents.js'
import { CallerPatience } from './callerPatience.js'
import { RequestAdmission } from './requestAdmission.js'
import { ReturnTurns } from './returnTurns.js'
import { fullnessOf, hasRoom, MIN_SAMPLES_COUNT, RECENT_LOAD_MS, ServiceFiguresCounter, type Arrival, type Fullness, type LoadSample } from './serviceFigures.js'
import { hasChanged } from './serviceTotals.js'
import { FIGURES_LIFETIME_MS, type ServiceFigures, type ServiceTotals } from '../protocol/serviceFigures.js'
import { RouteKind, type Routing, type RoutingRoute } from '../protocol/routing.js'
import type { Clock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import { MetricName } from '../utils/metricNames.js'
import type { Metrics } from '../utils/metrics.js'
import type { RandomSource } from '../utils/randomSource.js'

/** Shares are derived again after this time, as the load that endpoints report has changed. */
const LEVEL_LIFETIME_MS = 50
/** Figures that have hardly changed are sent again before they stop counting, with one call to spare. */
const REPEAT_INTERVAL_MS = 1_000
/** A slot that an endpoint reported free is given away within the time in which other hosts would take it. */
const FREE_SLOT_LIFETIME_MS = 50
/** When a service fills up, the figures sent at once hold mostly requests of before; those sent again after these times hold fewer, and none. */
const FOLLOW_UP_REPORTS_AFTER_MS = [80, 250]
const LOG_INTERVAL_MS = 1_000
/** For services that no route with an objective uses. */
const DEFAULT_OBJECTIVE_MS = 200

export interface AdmissionRequest {
  route: RoutingRoute
  service: string
  priority: number
  account: string | undefined
  /** How long the caller still waits for an answer. */
  remainingMs: number
}

export type AdmissionDecision =
  | { kind: 'admitted' }
  | { kind: 'refused', retryAfterMs: number }

export interface ServiceAdmissionOptions {
  clock: Clock
  random: RandomSource
  logger: Logger
  metrics: Metrics
  /** The fleet's time of day at a time of the monotonic clock. */
  wallAt: (nowMs: number) => number
  routing: () => Routing | undefined
  /** Called when figures of a service should be sent without waiting for the next call. */
  onPressure?: ((service: string) => void) | undefined
}

interface ServiceState {
  counter: ServiceFiguresCounter
  admission: RequestAdmission
  turns: ReturnTurns
  totals: ServiceTotals | undefined
  level: AdmissionLevel
  levelUntilMs: number
  /** This host's part of the demand, 0 to 1. */
  ownShare: number
  sent: { atMs: number, holder: string, figures: ServiceFigures } | undefined
  wasUnderPressure: boolean
  /** Times of reports that do not wait for the next call, the earliest first. */
  followUpReportsAtMs: number[]
  /** Until when a slot that an endpoint reported free may be given to a request. */
  freeSlotUntilMs: number
  loggedAtMs: number
  loggedText: string
}

const OPEN: AdmissionLevel = { kind: 'open' }
const ADMITTED: AdmissionDecision = { kind: 'admitted' }

export class ServiceAdmission {
  private readonly _options: ServiceAdmissionOptions
  private readonly _patience: CallerPatience
  private readonly _states = new Map<string, ServiceState>()

  constructor (options: ServiceAdmissionOptions) {
    this._options = options
    this._patience = new CallerPatience(options.clock)
  }

  /** Counts a request and decides at once whether it is let in. */
  admit (request: AdmissionRequest): AdmissionDecision {
    if (!this._isCounted(request)) return ADMITTED
    const state = this._stateOf(request.service)
    const arrival = this._arrivalOf(request)
    state.counter.arrived(arrival)
    const level = this._levelOf(request.service, state)
    if (level.kind === 'open') return ADMITTED
    const classLevel = level.classes.get(arrival.priority)
    const isAdmitted = !classLevel || hasRoom(this._freshestFullness(state)) || state.admission.isAdmitted(arrival, classLevel, state.ownShare) || this._takeFreeSlot(state)
    return isAdmitted ? ADMITTED : this._refuse(request, arrival, state, level.roomForReturnsPerS)
  }

  /** Whether a request that found all endpoints of its service full may go on waiting, or is refused so that those of uncut classes are served. */
  mayWait (request: AdmissionRequest): AdmissionDecision {
    if (!this._isCounted(request)) return ADMITTED
    const state = this._stateOf(request.service)
    const level = this._levelOf(request.service, state)
    const classLevel = level.kind === 'cut' ? level.classes.get(request.priority) : undefined
    if (level.kind === 'open' || !classLevel || classLevel.firstTriesShare >= 1) return ADMITTED
    const arrival = { priority: request.priority, account: request.account, isReturn: false }
    return this._refuse(request, arrival, state, level.roomForReturnsPerS)
  }

  /** Whether a service refuses requests now, so that a second try of one request takes the place of another. */
  isCutting (service: string): boolean {
    const state = this._states.get(service)
    return state !== undefined && this._levelOf(service, state).kind === 'cut' && !hasRoom(this._freshestFullness(state))
  }

  /** Counts a request that is never refused. */
  countUnrefused (request: AdmissionRequest): void {
    if (this._isCounted(request)) this._stateOf(request.service).counter.arrived(this._arrivalOf(request))
  }

  /** Records an answer of an endpoint that reported its load. */
  answered (service: string, sample: LoadSample): void {
    const state = this._stateOf(service)
    state.counter.answered(sample)
    const { runningCount, waitingCount, slotsCount } = sample.load
    if (waitingCount === 0 && runningCount < slotsCount) state.freeSlotUntilMs = this._options.clock.nowMs() + FREE_SLOT_LIFETIME_MS
    this._checkPressure(service, state)
  }

  /** Records that an endpoint refused a request for lack of a slot. */
  refusedByEndpoint (service: string): void {
    const state = this._stateOf(service)
    state.counter.refusedByEndpoint()
    this._checkPressure(service, state)
  }

  /** Takes sums from a control host. Of two holders, the one that hears more hosts counts. */
  receive (all: readonly ServiceTotals[]): void {
    for (const totals of all) {
      const state = this._stateOf(totals.service)
      const known = this._isFresh(state.totals) ? state.totals : undefined
      if (!this._isFresh(totals) || (known && totals.hostsCount < known.hostsCount && !isHalfExpired(known, this._wallMs()))) continue
      this._adopt(totals.service, state, totals)
    }
  }

  /**
   * The figures to send with the next call to a control host; marks them as sent.
   * @param holderOf the control host that holds the figures of a service
   */
  takeDue (address: string, holderOf: (service: string) => string | undefined): ServiceFigures[] {
    return [...this._states].flatMap(([service, state]) => {
      if (!this._isLackingRoom(state) || holderOf(service) !== address) return []
      const figures = state.counter.current(service, Math.round(this._wallMs()))
      if (!this._isDue(state, address, figures)) return []
      state.sent = { atMs: this._options.clock.nowMs(), holder: address, figures }
      return [figures]
    })
  }

  /** Engines take work by the memory that it needs; slots do not tell how full they are. */
  private _isCounted ({ route, service }: AdmissionRequest): boolean {
    if (route.kind !== RouteKind.Idempotent && route.kind !== RouteKind.AtMostOnce) return false
    return this._options.routing()?.services.find(({ name }) => name === service)?.engine === undefined
  }

  private _arrivalOf ({ route, priority, account, remainingMs }: AdmissionRequest): Arrival {
    return { priority, account, isReturn: this._patience.isReturn(route.name, remainingMs) }
  }

  /** Each report of a free slot lets one request in, so that room is used as it comes, before any sum tells of it. */
  private _takeFreeSlot (state: ServiceState): boolean {
    const isFree = this._options.clock.nowMs() < state.freeSlotUntilMs
    state.freeSlotUntilMs = Number.NEGATIVE_INFINITY
    return isFree
  }

  private _refuse ({ service, remainingMs }: AdmissionRequest, arrival: Arrival, state: ServiceState, roomForReturnsPerS: number): AdmissionDecision {
    state.counter.refused(arrival)
    this._options.metrics.count(MetricName.AdmissionRefused, { pool: service, priorityClass: String(arrival.priority) })
    return { kind: 'refused', retryAfterMs: state.turns.take(remainingMs, roomForReturnsPerS * state.ownShare) }
  }

  private _stateOf (service: string): ServiceState {
    const { clock, random } = this._options
    let state = this._states.get(service)
    if (!state) {
      state = {
        counter: new ServiceFiguresCounter(clock),
        admission: new RequestAdmission(clock, random),
        turns: new ReturnTurns(clock, random),
        totals: undefined,
        level: OPEN,
        levelUntilMs: Number.NEGATIVE_INFINITY,
        ownShare: 0,
        sent: undefined,
        wasUnderPressure: false,
        followUpReportsAtMs: [],
        freeSlotUntilMs: Number.NEGATIVE_INFINITY,
        loggedAtMs: Number.NEGATIVE_INFINITY,
        loggedText: ''
      }
      this._states.set(service, state)
    }
    return state
  }

  private _levelOf (service: string, state: ServiceState): AdmissionLevel {
    const nowMs = this._options.clock.nowMs()
    if (!state.totals || nowMs < state.levelUntilMs) return state.level
    if (!this._isFresh(state.totals)) return this._dropTotals(service, state, state.totals)
    state.level = admissionLevelOf(state.totals, this._freshestFullness(state), this._objectiveMsOf(service), state.level.kind === 'cut')
    state.levelUntilMs = nowMs + LEVEL_LIFETIME_MS
    if (state.level.kind === 'open') state.admission.reset()
    return state.level
  }

  /** The load that endpoints reported to this host just now, or else to all hosts. */
  private _freshestFullness ({ counter, totals }: ServiceState): Fullness {
    const own = counter.fullness(RECENT_LOAD_MS)
    return own.samplesCount >= MIN_SAMPLES_COUNT || !totals ? own : fullnessOf(totals.dataCentres)
  }

  private _adopt (service: string, state: ServiceState, totals: ServiceTotals): void {
    state.totals = totals
    state.levelUntilMs = Number.NEGATIVE_INFINITY
    state.ownShare = ownShareOf(state.counter.current(service, 0), totals)
    this._levelOf(service, state)
    this._report(service, state, totals)
    this._checkPressure(service, state)
  }

  private _dropTotals (service: string, state: ServiceState, totals: ServiceTotals): AdmissionLevel {
    const wasCut = state.level.kind === 'cut'
    Object.assign(state, { totals: undefined, level: OPEN, loggedText: '' })
    state.admission.reset()
    if (wasCut) this._options.logger.event(BalancingEvent.AdmissionFiguresLost, { service, ageMs: Math.round(this._wallMs() - totals.countedAtWallMs) })
    return OPEN
  }

  private _checkPressure (service: string, state: ServiceState): void {
    const isUnderPressure = this._isLackingRoom(state)
    const nowMs = this._options.clock.nowMs()
    const isNew = isUnderPressure && !state.wasUnderPressure
    state.wasUnderPressure = isUnderPressure
    const [followUpAtMs = Number.POSITIVE_INFINITY, ...laterMs] = state.followUpReportsAtMs
    if (!isNew && nowMs < followUpAtMs) return
    state.followUpReportsAtMs = isNew ? FOLLOW_UP_REPORTS_AFTER_MS.map(afterMs => nowMs + afterMs) : laterMs
    if (isUnderPressure) this._options.onPressure?.(service)
  }

  /** By the calls of this host, or by the sum of all. */
  private _isLackingRoom ({ counter, totals }: ServiceState): boolean {
    if (counter.isUnderPressure) return true
    return totals !== undefined && this._isFresh(totals) && !hasRoom(fullnessOf(totals.dataCentres))
  }

  private _isDue ({ sent }: ServiceState, holder: string, figures: ServiceFigures): boolean {
    if (!sent || sent.holder !== holder || this._options.clock.nowMs() - sent.atMs >= REPEAT_INTERVAL_MS) return true
    return hasChanged(sent.figures, figures)
  }

  private _isFresh (totals: ServiceTotals | undefined): totals is ServiceTotals {
    return totals !== undefined && Math.abs(this._wallMs() - totals.countedAtWallMs) <= FIGURES_LIFETIME_MS
  }

  private _wallMs (): number {
    return this._options.wallAt(this._options.clock.nowMs())
  }

  private _objectiveMsOf (service: string): number {
    const routes = this._options.routing()?.routes.filter(({ services }) => services.some(weighted => weighted.service === service)) ?? []
    return routes.length > 0 ? Math.min(...routes.map(({ objectiveMs }) => objectiveMs)) : DEFAULT_OBJECTIVE_MS
  }

  private _report (service: string, state: ServiceState, totals: ServiceTotals): void {
    const { clock, logger, metrics } = this._options
    const { level } = state
    const shares = level.kind === 'cut' ? [...level.classes].map(([priority, { firstTriesShare, returnsPerS }]) => `${priority}: ${firstTriesShare.toFixed(2)}, returns ${Number.isFinite(returnsPerS) ? `${returnsPerS.toFixed(0)} a second` : 'all'}`) : []
    for (const { priority } of totals.classes) {
      const share = level.kind === 'cut' ? level.classes.get(priority)?.firstTriesShare ?? 1 : 1
      metrics.gauge(MetricName.AdmissionShare, share, { pool: service, priorityClass: String(priority) })
    }
    const text = `${level.kind} ${shares.join(' ')}`
    if (text === state.loggedText || clock.nowMs() - state.loggedAtMs < LOG_INTERVAL_MS) return
    if (level.kind === 'open' && state.loggedText === '') return
    Object.assign(state, { loggedAtMs: clock.nowMs(), loggedText: text })
    logger.event(BalancingEvent.AdmissionLevelChanged, { service, kind: level.kind, shares, ...inputsOf(totals, level), ageMs: Math.round(this._wallMs() - totals.countedAtWallMs) })
  }
}

/** The sum that a level rests on, for the log. */
function inputsOf ({ hostsCount, dataCentres }: ServiceTotals, level: AdmissionLevel): Record<string, number | string[] | undefined> {
  const cut = level.kind === 'cut' ? level : undefined
  return {
    hostsCount,
    capacityPerS: cut && Math.round(cut.capacityPerS),
    allowedPerS: cut && Math.round(cut.allowedPerS),
    demandPerS: cut && Math.round(cut.demandPerS),
    fullness: dataCentres.map(load => {
      const { runningShare, waitingPerSlot } = fullnessOf([load])
      return `${load.dataCentre}: ${runningShare.toFixed(2)} of the slots run, ${waitingPerSlot.toFixed(2)} wait for each`
    })
  }
}

function isHalfExpired ({ countedAtWallMs }: ServiceTotals, wallMs: number): boolean {
  return wallMs - countedAtWallMs > FIGURES_LIFETIME_MS / 2
}

function ownShareOf (own: ServiceFigures, totals: ServiceTotals): number {
  const demandOf = ({ classes }: ServiceFigures): number => classes.reduce((sum, { firstTriesPerS, returnsPerS }) => sum + firstTriesPerS + returnsPerS, 0)
  return Math.min(1, demandOf(own) / Math.max(1, demandOf(totals)))
}
