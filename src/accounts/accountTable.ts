/**
 * Maps keys to client accounts, according to the routing configuration in force.
 */
import type { ClientAccount, Routing } from '../protocol/routing.js'
import { isSameDigest, shortDigest } from './keyDigest.js'

interface AccountKey {
  digest: string
  account: ClientAccount
}

export class AccountTable {
  private readonly _byShortDigest = new Map<string, AccountKey[]>()

  constructor (accounts: readonly ClientAccount[]) {
    for (const account of accounts) {
      for (const digest of account.keyDigests) this._add(digest, account)
    }
  }

  /** The account that the key with this digest belongs to; undefined when there is no such account. */
  holderOf (digest: string): ClientAccount | undefined {
    return this._byShortDigest.get(shortDigest(digest))?.find(key => isSameDigest(key.digest, digest))?.account
  }

  private _add (digest: string, account: ClientAccount): void {
    const keys = this._byShortDigest.get(shortDigest(digest)) ?? []
    keys.push({ digest, account })
    this._byShortDigest.set(shortDigest(digest), keys)
  }
}

/** Caches the table of the routing configuration in force. */
export class CurrentAccounts {
  private _version: number | undefined
  private _table: AccountTable | undefined

  /** Returns undefined where callers need no key; rebuilds the table when the version has changed. */
  of (routing: Routing): AccountTable | undefined {
    if (this._version !== routing.version) {
      this._version = routing.version
      this._table = routing.accounts && new AccountTable(routing.accounts)
    }
    return this._table
  }
}
