/**
 * Attributes the failures of one request to endpoints or to the request itself. An error
 * may be caused by the endpoint (all requests fail there) or by the request (which
 * fails everywhere): the first endpoint that fails is suspected, cleared once
 * another endpoint fails the same request, and charged once more if another endpoint serves it.
 */
import type { EndpointHealth } from './endpointHealth.js'

/** The only status that means the endpoint ran the request and failed; a 504 means that the deadline passed. */
const FAILED_STATUS = 500

export class FailureAttribution {
  /** Returns the key that identifies the request in all of its tries; computed only when a try fails. */
  private readonly _requestKeyOf: () => string
  private readonly _failedAt = new Set<string>()
  private _failuresCount = 0
  /** The endpoint that failed first, until another endpoint fails or serves the request. */
  private _suspected: EndpointHealth | undefined

  constructor (requestKeyOf: () => string) {
    this._requestKeyOf = requestKeyOf
  }

  /** Number of answers by which an endpoint stated that it ran the request and failed. */
  get failuresCount (): number {
    return this._failuresCount
  }

  /** Number of different endpoints that failed the request. */
  get endpointsCount (): number {
    return this._failedAt.size
  }

  hasFailedAt (endpointId: string): boolean {
    return this._failedAt.has(endpointId)
  }

  /** Records that an endpoint answered the request, which was sent to it at `startedAtMs`, with an error. */
  note (endpointId: string, health: EndpointHealth, startedAtMs: number, status: number): void {
    if (status === FAILED_STATUS) this._failuresCount++
    this.notStarted(endpointId, health, startedAtMs)
  }

  /** Records that an endpoint accepted the request and did not start it: not an error answer, but counted like one for the choice of an endpoint. */
  notStarted (endpointId: string, health: EndpointHealth, startedAtMs: number): void {
    const requestKey = this._requestKeyOf()
    const isFirst = this._failedAt.size === 0
    const isOther = !isFirst && !this._failedAt.has(endpointId)
    this._failedAt.add(endpointId)
    if (isFirst) {
      this._suspected = health
      health.failedRequest(requestKey, startedAtMs)
    } else if (isOther) {
      this._suspected?.failedElsewhere(requestKey)
      this._suspected = undefined
    }
  }

  /** Records that an endpoint has started the request without an error, or has completed it. */
  accepted (endpointId: string): void {
    if (!this._suspected) return
    const isOther = !this._failedAt.has(endpointId)
    if (isOther) this._suspected.servedElsewhere(this._requestKeyOf())
    this._suspected = undefined
  }
}
