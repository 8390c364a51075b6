/**
 * One endpoint as this host sees it: its last announcement, what this host has
 * running there, and how many it may have there.
 *
 * Several hosts share an endpoint and each sees its load late, so none may
 * take all of what the last report shows free. A host may have its equal part
 * of the endpoint at any time. Beyond that it takes a part of the free places
 * of each report: the part that it has of the running requests, or an equal
 * part where that is more. When the report shows more than the endpoint can
 * run, hosts above their equal part give back in proportion.
 */
import { EndpointKind, type EndpointPoolSpec } from '../../protocol/resources.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { EndpointRecord } from '../directory/endpointRecord.js'
import { EndpointHealth } from './endpointHealth.js'
import { OwnHistory } from './ownHistory.js'

/**
 * Engines queue by priority, so each is given a little more than it runs: a
 * place that frees there goes to the most urgent request of any host.
 */
const WAITING_PER_HOST = 0
const MAX_WAITING_FRACTION = 1
/** What a host may send of the best-paid work beyond its limit. */
const URGENT_EXTRA_COUNT = 4
/** Not to an engine where this part of what it runs waits already. */
const URGENT_WAITING_FRACTION = 1
/** With fewer running, a reported speed says little. */
const MIN_RUNNING_COUNT = 3
const SPEED_SMOOTHING = 0.4
/** With this part of it free, every host may send one, however small its equal part is. */
const ROOMY_FRACTION = 0.5
/** With its KV memory this full, an engine would only make requests wait. */
const KV_FULL_PERCENT = 95

export class EndpointState {
  record: EndpointRecord
  readonly health = new EndpointHealth()
  private readonly _own = new OwnHistory()
  /** Time of a token in one stream, by its reports, smoothed; undefined before it had enough to run. */
  reportedMsPerToken: number | undefined
  private _ownAtReport = 0
  private _limitCount = 0
  private _refusedSinceReport = false

  constructor (record: EndpointRecord) {
    this.record = record
  }

  get endpointId (): string {
    return this.record.announcement.endpointId
  }

  get ownCount (): number {
    return this._own.count
  }

  /** What it runs and has waiting, as of the last report, with this host's part of today. */
  get estimatedCount (): number {
    return Math.max(0, this._reportedCount - this._ownAtReport) + this._own.count
  }

  /** How many requests this host may have there now. */
  get ownLimitCount (): number {
    const limitCount = this._refusedSinceReport ? Math.min(this._limitCount, this._own.count) : this._limitCount
    return Math.min(limitCount, this.health.slowStartCount)
  }

  get hasPlace (): boolean {
    return this._own.count < this.ownLimitCount
  }

  /**
   * Whether the best-paid work may go there: an engine takes it ahead of what
   * waits there, so it need not wait here for a place of this host.
   */
  get hasPlaceForUrgent (): boolean {
    if (this.hasPlace) return true
    const { endpointKind, load, maxConcurrentCount } = this.record.announcement
    const mayPass = endpointKind === EndpointKind.Engine && this.health.slowStartCount === Infinity && !this._refusedSinceReport
    if (!mayPass || load.waitingCount > URGENT_WAITING_FRACTION * maxConcurrentCount) return false
    return this._own.count < this._limitCount + URGENT_EXTRA_COUNT
  }

  capacityCount (spec: EndpointPoolSpec): number {
    return Math.min(this.record.announcement.maxConcurrentCount, spec.maxConcurrentCount)
  }

  /** Takes over a newer announcement. */
  update (record: EndpointRecord): void {
    const restarted = record.announcement.incarnation !== this.record.announcement.incarnation
    if (restarted) this._startAnew()
    const isNewReport = record.loadAtMs > this.record.loadAtMs
    this.record = record
    if (isNewReport) this._noteSpeed()
  }

  /** Works out the limit after a new report or a changed number of hosts. */
  setLimit (spec: EndpointPoolSpec, hostsCount: number, random: RandomSource): void {
    this._own.forgetBefore(this.record.loadAtMs)
    this._ownAtReport = this._own.countAt(this.record.loadAtMs)
    this._refusedSinceReport = false
    const capacityCount = this.capacityCount(spec)
    const placesCount = capacityCount + this._waitingCount(capacityCount, hostsCount)
    const limit = Math.min(placesCount, this._shareOf(placesCount, hostsCount))
    this._limitCount = Math.floor(limit + random.real())
    this.health.endSlowStart(capacityCount)
  }

  began (nowMs: number): void {
    this._own.began(nowMs)
  }

  ended (nowMs: number): void {
    this._own.ended(nowMs)
  }

  /** It said that it can't take more: nothing new until its next report. */
  refused (): void {
    this._refusedSinceReport = true
  }

  private _startAnew (): void {
    this.health.startSlowly()
    this.reportedMsPerToken = undefined
  }

  private _noteSpeed (): void {
    const { runningCount, tokensPerSecond } = this.record.announcement.load
    if (runningCount < MIN_RUNNING_COUNT || tokensPerSecond === 0) return
    const msPerToken = 1000 * runningCount / tokensPerSecond
    const old = this.reportedMsPerToken ?? msPerToken
    this.reportedMsPerToken = old + SPEED_SMOOTHING * (msPerToken - old)
  }

  private get _reportedCount (): number {
    const { runningCount, waitingCount } = this.record.announcement.load
    return runningCount + waitingCount
  }

  private _waitingCount (capacityCount: number, hostsCount: number): number {
    if (this.record.announcement.endpointKind !== EndpointKind.Engine) return 0
    return Math.min(MAX_WAITING_FRACTION * capacityCount, WAITING_PER_HOST * hostsCount)
  }

  private _shareOf (placesCount: number, hostsCount: number): number {
    const totalCount = Math.max(this._reportedCount, this._ownAtReport)
    const ownPart = totalCount > 0 ? this._ownAtReport / totalCount : 0
    const freeCount = placesCount - totalCount
    const equalPart = placesCount / hostsCount
    if (freeCount < 0) return Math.max(equalPart * placesCount / totalCount, this._ownAtReport + freeCount * ownPart)
    if (this.record.announcement.load.kvUsedPercent >= KV_FULL_PERCENT) return this._ownAtReport
    const leastCount = freeCount >= ROOMY_FRACTION * placesCount ? 1 : 0
    return Math.max(leastCount, equalPart, this._ownAtReport + freeCount * Math.max(ownPart, 1 / hostsCount))
  }
}
