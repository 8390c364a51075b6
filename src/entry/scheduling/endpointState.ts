/**
 * One endpoint as seen by this host: its last announcement, the requests that
 * this host has running there, and the limit of such requests.
 *
 * Several hosts share an endpoint and each sees its load with a delay, so no
 * host may take all of the capacity that the last report shows as free. A host
 * may use an equal share of the endpoint at any time. Beyond that, it takes a
 * fraction of the free capacity of each report: the host's fraction of the running
 * requests, or an equal share if that is larger. When a report shows more
 * requests than the endpoint can run, hosts above their equal share reduce
 * their limit proportionally.
 */
import { EndpointKind, type EndpointPoolSpec } from '../../protocol/resources.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { EndpointRecord } from '../directory/endpointRecord.js'
import { EndpointHealth } from './endpointHealth.js'
import { OwnRequestHistory } from './ownHistory.js'

/**
 * Requests that each host may queue at an engine beyond the engine's capacity.
 * Engines queue by priority, so freed capacity goes to the most urgent queued
 * request of any host.
 */
const ENGINE_QUEUE_PER_HOST = 0
const MAX_ENGINE_QUEUE_FRACTION = 1
/** Requests of the best-paid class that a host may send beyond its limit. */
const URGENT_EXTRA_COUNT = 4
/** No request beyond the limit is sent to an engine whose queue exceeds this fraction of its capacity. */
const MAX_URGENT_QUEUE_FRACTION = 1
/** With fewer running requests, the reported speed is not representative. */
const MIN_RUNNING_COUNT_FOR_SPEED = 3
const SPEED_SMOOTHING = 0.4
/** If this fraction of the capacity is free, every host may send one request, however small its share is. */
const MOSTLY_FREE_FRACTION = 0.5
/** An engine whose KV cache is this full would only queue further requests. */
const KV_FULL_PERCENT = 95

export class EndpointState {
  record: EndpointRecord
  readonly health = new EndpointHealth()
  private readonly _ownHistory = new OwnRequestHistory()
  /** Smoothed time per token of one stream, from the load reports; undefined before a representative report. */
  reportedMsPerToken: number | undefined
  private _ownCountAtReport = 0
  private _limitCount = 0
  private _refusedSinceReport = false

  constructor (record: EndpointRecord) {
    this.record = record
  }

  get endpointId (): string {
    return this.record.announcement.endpointId
  }

  get ownCount (): number {
    return this._ownHistory.count
  }

  /** Requests running and queued at the endpoint: of other hosts by the last report, of this host as of now. */
  get estimatedCount (): number {
    return Math.max(0, this._reportedCount - this._ownCountAtReport) + this._ownHistory.count
  }

  /** Number of requests that this host may currently have at the endpoint. */
  get ownLimitCount (): number {
    const limitCount = this._refusedSinceReport ? Math.min(this._limitCount, this._ownHistory.count) : this._limitCount
    return Math.min(limitCount, this.health.slowStartCount)
  }

  get hasCapacity (): boolean {
    return this._ownHistory.count < this.ownLimitCount
  }

  /**
   * Whether the best-paid class may send a request: an engine runs it before
   * the requests queued there, so it doesn't have to wait for this host's limit.
   */
  get hasUrgentCapacity (): boolean {
    if (this.hasCapacity) return true
    const { endpointKind, load, maxConcurrentCount } = this.record.announcement
    const acceptsUrgent = endpointKind === EndpointKind.Engine && this.health.slowStartCount === Infinity && !this._refusedSinceReport
    if (!acceptsUrgent || load.waitingCount > MAX_URGENT_QUEUE_FRACTION * maxConcurrentCount) return false
    return this._ownHistory.count < this._limitCount + URGENT_EXTRA_COUNT
  }

  capacityCount (spec: EndpointPoolSpec): number {
    return Math.min(this.record.announcement.maxConcurrentCount, spec.maxConcurrentCount)
  }

  /** Applies a newer announcement. */
  update (record: EndpointRecord): void {
    const isRestarted = record.announcement.incarnation !== this.record.announcement.incarnation
    if (isRestarted) this._resetAfterRestart()
    const isNewReport = record.loadAtMs > this.record.loadAtMs
    this.record = record
    if (isNewReport) this._recordSpeed()
  }

  /** Must be called after a new load report and when the pool's settings or the number of hosts change. */
  recomputeLimit (spec: EndpointPoolSpec, hostsCount: number, random: RandomSource): void {
    this._ownHistory.forgetBefore(this.record.loadAtMs)
    this._ownCountAtReport = this._ownHistory.countAt(this.record.loadAtMs)
    this._refusedSinceReport = false
    const capacityCount = this.capacityCount(spec)
    const admissibleCount = capacityCount + this._engineQueueCount(capacityCount, hostsCount)
    const limit = Math.min(admissibleCount, this._hostLimitOf(admissibleCount, hostsCount))
    this._limitCount = Math.floor(limit + random.real())
    this.health.endSlowStart(capacityCount)
  }

  started (nowMs: number): void {
    this._ownHistory.started(nowMs)
  }

  ended (nowMs: number): void {
    this._ownHistory.ended(nowMs)
  }

  /** The endpoint refused a request for lack of capacity: no further requests are sent there until its next report. */
  recordRefusal (): void {
    this._refusedSinceReport = true
  }

  private _resetAfterRestart (): void {
    this.health.beginSlowStart()
    this.reportedMsPerToken = undefined
  }

  private _recordSpeed (): void {
    const { runningCount, tokensPerSecond } = this.record.announcement.load
    if (runningCount < MIN_RUNNING_COUNT_FOR_SPEED || tokensPerSecond === 0) return
    const msPerToken = 1000 * runningCount / tokensPerSecond
    const previous = this.reportedMsPerToken ?? msPerToken
    this.reportedMsPerToken = previous + SPEED_SMOOTHING * (msPerToken - previous)
  }

  private get _reportedCount (): number {
    const { runningCount, waitingCount } = this.record.announcement.load
    return runningCount + waitingCount
  }

  private _engineQueueCount (capacityCount: number, hostsCount: number): number {
    if (this.record.announcement.endpointKind !== EndpointKind.Engine) return 0
    return Math.min(MAX_ENGINE_QUEUE_FRACTION * capacityCount, ENGINE_QUEUE_PER_HOST * hostsCount)
  }

  private _hostLimitOf (admissibleCount: number, hostsCount: number): number {
    const totalCount = Math.max(this._reportedCount, this._ownCountAtReport)
    const ownShare = totalCount > 0 ? this._ownCountAtReport / totalCount : 0
    const freeCount = admissibleCount - totalCount
    const equalShareCount = admissibleCount / hostsCount
    if (freeCount < 0) return Math.max(equalShareCount * admissibleCount / totalCount, this._ownCountAtReport + freeCount * ownShare)
    if (this.record.announcement.load.kvUsedPercent >= KV_FULL_PERCENT) return this._ownCountAtReport
    const minCount = freeCount >= MOSTLY_FREE_FRACTION * admissibleCount ? 1 : 0
    return Math.max(minCount, equalShareCount, this._ownCountAtReport + freeCount * Math.max(ownShare, 1 / hostsCount))
  }
}
