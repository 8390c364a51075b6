/**
 * Admission of callers at an entry host. Every call is decided by the routing
 * configuration in force at that moment: a kept-alive connection carries no
 * admission over from earlier calls.
 */
import type { Routing } from '../protocol/routing.js'
import { CurrentAccounts } from './accountTable.js'
import { admit, type Admission, type KeyPolicy } from './admission.js'
import { digestOfKey, shortDigest } from './keyDigest.js'

export interface CallerAdmissionOptions {
  policy: KeyPolicy
  /** Time since a majority of the control hosts last answered, in milliseconds. */
  disconnectedMs: () => number
}

export interface AdmissionDecision {
  admission: Admission
  /** Name of the key for the log, the start of its digest; undefined without a key. */
  keyName: string | undefined
}

export class CallerAdmission {
  private readonly _options: CallerAdmissionOptions
  private readonly _accounts = new CurrentAccounts()

  constructor (options: CallerAdmissionOptions) {
    this._options = options
  }

  /** @param key the key as the caller sent it; undefined without one */
  decide (routing: Routing, isPublic: boolean, key: string | undefined): AdmissionDecision {
    const accounts = this._accounts.of(routing)
    if (!accounts) return { admission: { kind: 'open' }, keyName: undefined }
    const keyDigest = key === undefined ? undefined : digestOfKey(key)
    const admission = admit({ accounts, isPublic, keyDigest, disconnectedMs: this._options.disconnectedMs() }, this._options.policy)
    return { admission, keyName: keyDigest === undefined ? undefined : shortDigest(keyDigest) }
  }
}
