/**
 * Admission as an entry host decides it, by the routing configuration in force
 * at the moment of the call: a connection that is kept has no standing of its own.
 */
import type { Routing } from '../protocol/routing.js'
import { CurrentAccounts } from './accountTable.js'
import { admit, type Admission, type KeyPolicy } from './admission.js'
import { digestOfKey, shortDigest } from './keyDigest.js'

export interface CallerAdmissionParts {
  policy: KeyPolicy
  /** For how long no majority of the control hosts has been heard. */
  outOfTouchMs: () => number
}

export interface AdmissionDecision {
  admission: Admission
  /** What the log calls the key; undefined without one. */
  keyName: string | undefined
}

export class CallerAdmission {
  private readonly _parts: CallerAdmissionParts
  private readonly _accounts = new CurrentAccounts()

  constructor (parts: CallerAdmissionParts) {
    this._parts = parts
  }

  /** @param key as the caller sent it; undefined without one */
  decide (routing: Routing, isPublic: boolean, key: string | undefined): AdmissionDecision {
    const accounts = this._accounts.of(routing)
    if (!accounts) return { admission: { kind: 'open' }, keyName: undefined }
    const keyDigest = key === undefined ? undefined : digestOfKey(key)
    const admission = admit({ accounts, isPublic, keyDigest, outOfTouchMs: this._parts.outOfTouchMs() }, this._parts.policy)
    return { admission, keyName: keyDigest === undefined ? undefined : shortDigest(keyDigest) }
  }
}
