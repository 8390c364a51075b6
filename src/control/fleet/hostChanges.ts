/**
 * Collects host changes since followers were last notified. Entry hosts name each
 * other to callers and connect to store hosts, so they receive all hosts; store
 * hosts receive only store hosts. This module does no network I/O.
 *
 * Sending changes instead of full lists keeps the cost low when all hosts of a
 * fleet start at once, or come and go one after the other: a change then costs
 * each follower one entry instead of the whole fleet. Loads of entry hosts change
 * more often than all else and are sent without the rest of the description.
 */
import { HostRole, type FleetHost, type FleetUpdate, type HostLoad } from '../../protocol/fleet.js'

/** Whether followers of one role receive updates about hosts of another. */
function receivesUpdatesOf (follower: HostRole, host: HostRole): boolean {
  return follower === HostRole.Entry || host === HostRole.Store
}

interface Change {
  role: HostRole
  /** Undefined if the host was removed. */
  host: FleetHost | undefined
}

export class HostChanges {
  /** By the id of the host. */
  private readonly _hosts = new Map<string, FleetHost>()
  private readonly _pending = new Map<string, Change>()
  private readonly _pendingLoads = new Map<string, HostLoad>()

  /** Adds a host, or replaces its description. */
  set (host: FleetHost): void {
    this._hosts.set(host.hostId, host)
    this._pendingLoads.delete(host.hostId)
    this._pending.set(host.hostId, { role: host.role, host })
  }

  setLoad (hostId: string, load: HostLoad): void {
    const host = this._hosts.get(hostId)
    if (!host) return
    this._hosts.set(hostId, { ...host, load })
    const pending = this._pending.get(hostId)
    if (pending) pending.host = { ...host, load }
    else this._pendingLoads.set(hostId, load)
  }

  remove (hostId: string): void {
    const host = this._hosts.get(hostId)
    if (!host) return
    this._hosts.delete(hostId)
    this._pendingLoads.delete(hostId)
    this._pending.set(hostId, { role: host.role, host: undefined })
  }

  all (): FleetHost[] {
    return [...this._hosts.values()]
  }

  /** The full list, for a new follower. */
  fullListFor (follower: HostRole): FleetUpdate {
    return { hosts: this.all().filter(({ role }) => receivesUpdatesOf(follower, role)) }
  }

  /** The changes since the last call for the followers of each role; empty updates are omitted. */
  takePending (): Array<{ follower: HostRole, update: FleetUpdate }> {
    const changes = [...this._pending]
    const hostLoads = [...this._pendingLoads].map(([hostId, load]) => ({ hostId, load }))
    this._pending.clear()
    this._pendingLoads.clear()
    return Object.values(HostRole).flatMap(follower => {
      const update: FleetUpdate = {}
      const relevant = changes.filter(([, { role }]) => receivesUpdatesOf(follower, role))
      if (relevant.length > 0) {
        update.changedHosts = relevant.flatMap(([, { host }]) => host ?? [])
        update.lostHostIds = relevant.flatMap(([hostId, { host }]) => (host ? [] : [hostId]))
      }
      if (follower === HostRole.Entry && hostLoads.length > 0) update.hostLoads = hostLoads
      return Object.keys(update).length > 0 ? [{ follower, update }] : []
    })
  }
}
