/**
 * What makes one request the same as another: the caller's host, the method, the
 * path and the body. Its digest is worked out when somebody asks for it.
 */
import { digestOf, type RepeatedParts } from '../protocol/quarantine.js'

export class RequestIdentity {
  private readonly _identifyingParts: RepeatedParts
  private _digest: string | undefined

  constructor ({ host, method, path, body }: RepeatedParts) {
    this._identifyingParts = { host, method, path, body }
  }

  get digest (): string {
    this._digest ??= digestOf(this._identifyingParts)
    return this._digest
  }
}
