/**
 * What one request has met at the endpoints that failed it. An error may be the
 * endpoint's (everything fails there) or the request's own (it fails anywhere):
 * the first endpoint is blamed, excused as soon as another one fails the same
 * request, and accused if another one does it.
 */
import type { EndpointHealth } from './endpointHealth.js'

/** The only status by which an endpoint says that it tried the request and failed; a 504 says that time was up. */
const FAILED_STATUS = 500

export class FailureAccount {
  /** What the request is known by, whichever try it is; worked out when it fails. */
  private readonly _requestKeyOf: () => string
  private readonly _failedAt = new Set<string>()
  private _failuresCount = 0
  /** The endpoint that is blamed, while nothing speaks for it. */
  private _suspected: EndpointHealth | undefined

  constructor (requestKeyOf: () => string) {
    this._requestKeyOf = requestKeyOf
  }

  /** Times that an endpoint tried it and failed. */
  get failuresCount (): number {
    return this._failuresCount
  }

  /** Different endpoints that failed it. */
  get endpointsCount (): number {
    return this._failedAt.size
  }

  hasFailedAt (endpointId: string): boolean {
    return this._failedAt.has(endpointId)
  }

  /** An endpoint answered the request, which was given to it at an instant, with an error. */
  note (endpointId: string, health: EndpointHealth, startedAtMs: number, status: number): void {
    if (status === FAILED_STATUS) this._failuresCount++
    this.noteUnbegun(endpointId, health, startedAtMs)
  }

  /** An endpoint took the request and did not begin it: no answered failure, and the same to whoever chooses an endpoint. */
  noteUnbegun (endpointId: string, health: EndpointHealth, startedAtMs: number): void {
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

  /** An endpoint has begun well with the request, or done it. */
  settled (endpointId: string): void {
    if (!this._suspected) return
    const isOther = !this._failedAt.has(endpointId)
    if (isOther) this._suspected.servedElsewhere(this._requestKeyOf())
    this._suspected = undefined
  }
}
