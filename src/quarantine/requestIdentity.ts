/**
 * Identity of a request: two requests are the same if host, method, path and body
 * are equal. The digest is computed on first use.
 *
 * Work that was handed in for later is owed: it never ends an endpoint by itself, so
 * that an endpoint which ends under it says nothing about it.
 */
import { digestOf, type RequestContent } from '../protocol/quarantine.js'

export class RequestIdentity {
  /** Whether the request is owed work: never suspected, and never withheld. */
  readonly isOwed: boolean
  private readonly _identifyingParts: RequestContent
  private _digest: string | undefined

  constructor ({ host, method, path, body }: RequestContent, isOwed = false) {
    this.isOwed = isOwed
    this._identifyingParts = { host, method, path, body }
  }

  get digest (): string {
    this._digest ??= digestOf(this._identifyingParts)
    return this._digest
  }
}
