/**
 * Who may call, and in whose name: the one decision for requests, streams,
 * submissions and calls about batches. Pure functions; keys come as digests.
 *
 * A key that this host does not know may have been added while the host was out
 * of touch with the control hosts. It is refused for good only by a host that is
 * in touch; any other one says that the caller may come back, so that nobody
 * gives up a key that is good. Nothing is asked of the control hosts for it:
 * unknown keys in masses stay with the host that they come to.
 */
import type { AccountTable } from './accountTable.js'

export interface KeyPolicy {
  /** A host that is out of touch admits no key any more, rather than one that may have been taken away. */
  isRevocationStrict: boolean
  /** How long it admits the keys that it knows, if revocation is strict. */
  revokeMs: number
}

/** What is known of the call and of this host. */
export interface CallContext {
  /** Undefined where callers need no key. */
  accounts: AccountTable | undefined
  /** The route needs no key. */
  isPublic: boolean
  /** Digest of the key that the caller sent; undefined without one. */
  keyDigest: string | undefined
  /** For how long no majority of the control hosts has been heard. */
  disconnectedMs: number
}

export type Admission =
  /** Callers need no key here: what they send is theirs. */
  | { kind: 'open' }
  /** In the name of an account, or of none on a public route. */
  | { kind: 'admitted', account: string | undefined, priority: number | undefined }
  /** Nobody holds the key, or there is none. */
  | { kind: 'refused', reason: AdmissionProblem }
  /** This host cannot tell: the key may be newer than what it knows, or may have been taken away. */
  | { kind: 'unsure', reason: AdmissionProblem }

export enum AdmissionProblem {
  MissingKey = 'missing_key',
  UnknownKey = 'unknown_key',
  /** The host has been out of touch for longer than keys may outlive their removal. */
  Disconnected = 'out_of_touch'
}

/** A host in touch has every change by then: followers call twice a second, and a call lasts 600 ms at most. */
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
