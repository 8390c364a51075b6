/**
 * Decides who may call and for which account; used for requests, streams, batch
 * submissions and calls about batches. Pure functions; keys are given as digests.
 *
 * A key that this host does not know may have been added while the host was
 * disconnected from the control hosts. Only a connected host refuses such a key
 * definitively; any other host answers that the caller may retry, so that nobody
 * discards a valid key. The control hosts are not queried for unknown keys: a flood
 * of unknown keys affects only the host that receives it.
 */
import type { AccountTable } from './accountTable.js'

export interface KeyPolicy {
  /** Whether a disconnected host stops admitting keys, as any key may have been revoked. */
  isRevocationStrict: boolean
  /** How long a disconnected host still admits the keys that it knows, if revocation is strict. */
  revokeMs: number
}

/** What the decision about a call depends on. */
export interface CallContext {
  /** Undefined where callers need no key. */
  accounts: AccountTable | undefined
  /** Whether the route needs no key. */
  isPublic: boolean
  /** Digest of the key that the caller sent; undefined without one. */
  keyDigest: string | undefined
  /** Time since a majority of the control hosts last answered, in milliseconds. */
  disconnectedMs: number
}

export type Admission =
  /** Callers need no key here; a key header that they send is passed on. */
  | { kind: 'open' }
  /** Admitted for an account, or for none on a public route. */
  | { kind: 'admitted', account: string | undefined, priority: number | undefined }
  /** The key is missing or belongs to no account. */
  | { kind: 'refused', reason: AdmissionProblem }
  /** This host cannot decide: the key may be newer than its configuration, or may have been revoked. */
  | { kind: 'unsure', reason: AdmissionProblem }

export enum AdmissionProblem {
  MissingKey = 'missing_key',
  UnknownKey = 'unknown_key',
  /** The host has been disconnected for longer than a revoked key may stay valid. */
  Disconnected = 'out_of_touch'
}

/** A host whose calls were answered within this time counts as connected and knows every change: followers call twice a second, and a call takes at most 600 ms. */
export const CONNECTED_WITHIN_MS = 1_500

export function admit ({ accounts, isPublic, keyDigest, disconnectedMs }: CallContext, { isRevocationStrict, revokeMs }: KeyPolicy): Admission {
  if (!accounts) return { kind: 'open' }
  const mayBeOutdated = isRevocationStrict && disconnectedMs > revokeMs
  const holder = keyDigest === undefined || mayBeOutdated ? undefined : accounts.holderOf(keyDigest)
  if (holder) return { kind: 'admitted', account: holder.name, priority: holder.priority }
  if (isPublic) return { kind: 'admitted', account: undefined, priority: undefined }
  if (keyDigest === undefined) return { kind: 'refused', reason: AdmissionProblem.MissingKey }
  if (mayBeOutdated) return { kind: 'unsure', reason: AdmissionProblem.Disconnected }
  return { kind: disconnectedMs > CONNECTED_WITHIN_MS ? 'unsure' : 'refused', reason: AdmissionProblem.UnknownKey }
}
