/**
 * Admission as an entry host decides it, by the routing configuration in force
 * at the moment of the call: a connection that is kept has no standing of its own.
 */
import type { Routing } from '../protocol/routing.js'
import { CurrentAccounts } from './accountTable.js'
import { admit, type Admission, type KeyPolicy } from './admission.js'
import { digestOfKey, shortDigest } from './keyDigest.js'

export interface CallerAdmissionOptions {
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
  private readonly _options: CallerAdmissionOptions
  private readonly _accounts = new CurrentAccounts()

  constructor (options: CallerAdmissionOptions) {
    this._options = options
  }

  /** @param key as the caller sent it; undefined without one */
  decide (routing: Routing, isPublic: boolean, key: string | undefined): AdmissionDecision {
    const accounts = this._accounts.of(routing)
    if (!accounts) return { admission: { kind: 'open' }, keyName: undefined }
    const keyDigest = key === undefined ? undefined : digestOfKey(key)
    const admission = admit({ accounts, isPublic, keyDigest, disconnectedMs: this._options.outOfTouchMs() }, this._options.policy)
    return { admission, keyName: keyDigest === undefined ? undefined : shortDigest(keyDigest) }
  }
}
