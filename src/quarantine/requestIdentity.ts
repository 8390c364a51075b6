/**
 * Identity of a request: two requests are the same if host, method, path and body
 * are equal. The digest is computed on first use.
 */
import { digestOf, type RequestContent } from '../protocol/quarantine.js'

export class RequestIdentity {
  private readonly _identifyingParts: RequestContent
  private _digest: string | undefined

  constructor ({ host, method, path, body }: RequestContent) {
    this._identifyingParts = { host, method, path, body }
  }

  get digest (): string {
    this._digest ??= digestOf(this._identifyingParts)
    return this._digest
  }
}
