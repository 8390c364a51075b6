/**
 * Decides which control host pushes a new routing configuration to a follower, and
 * when another control host sends it anyway. This module does no network I/O.
 *
 * Pushing each copy once keeps the links from saturating. By calculation, with
 * 1,700 routes, 45 KB per copy (packedRouting), 89 followers and four control hosts
 * with links of 12 MB/s, each control host sends 1 MB in 0.1 s. If all control hosts
 * pushed copies of 300 KB, and repeated them with each call until the follower has
 * the version, one change would occupy the links for more than 2 s.
 *
 * If a call shows that a follower lacks a version that was in force two calls
 * before, the control host that received the call sends that version: 1.5 s after the change at the
 * latest, as followers call twice a second. One call would be too early, because the
 * push may still be in transit.
 *
 * What was pushed is not sent again over the same connection, which delivers it for as
 * long as it lasts. Only a configuration that is part of a reply may be lost without
 * the connection, when the reply comes too late; such replies go to followers of
 * earlier builds.
 */
import { rendezvousChoice } from '../../utils/rendezvous.js'

/**
 * All control hosts choose the same control host, and the removal of a control host
 * reassigns only its own followers (rendezvous hashing).
 * @param memberAddresses addresses of all control hosts
 * @returns the address of the control host that pushes to the follower; undefined without members
 */
export function pusherOf (followerId: string, memberAddresses: readonly string[]): string | undefined {
  return rendezvousChoice(followerId, memberAddresses)
}

/** Tracks which routing version one follower has been sent over one connection. */
export class RoutingDelivery {
  private readonly _isPushOnly: boolean
  private _sentVersion = Number.NEGATIVE_INFINITY
  /** The version that the follower has to have at its next call: the one in force two calls before. Infinite at the first call. */
  private _dueVersion = Number.POSITIVE_INFINITY
  private _nextDueVersion = Number.NEGATIVE_INFINITY

  /** @param isPushOnly whether the follower takes configurations from pushes, never from replies */
  constructor (isPushOnly = false) {
    this._isPushOnly = isPushOnly
  }

  /** Records a push; returns false if this version, or a newer version, has already been sent. */
  recordPush (version: number): boolean {
    if (version <= this._sentVersion) return false
    this._sentVersion = version
    return true
  }

  /**
   * Records a call of the follower.
   * @param knownVersion version that the follower has; undefined before its first version
   * @returns whether the configuration has to be sent with the reply
   */
  recordCall (knownVersion: number | undefined, version: number): boolean {
    if (knownVersion !== undefined) this._sentVersion = Math.max(this._sentVersion, knownVersion)
    const isOverdue = knownVersion === undefined || (knownVersion < version && knownVersion < this._dueVersion)
    this._dueVersion = this._nextDueVersion
    this._nextDueVersion = version
    if (!isOverdue || (this._isPushOnly && version <= this._sentVersion)) return false
    this._sentVersion = version
    return true
  }
}
