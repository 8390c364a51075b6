/**
 * Which hosts changed since followers were last told. Entry hosts name each
 * other to callers and reach store hosts, so they are told of all; store hosts
 * are told of each other only. No network.
 *
 * The pattern it answers: all hosts of a fleet start at one moment, or come and
 * go in series. Told as whole lists, each change costs every follower the whole
 * fleet; told by change, a host costs every follower one entry.
 */
import { HostRole, type FleetHost, type FleetUpdate } from '../../protocol/fleet.js'

/** Whether a follower is told of a host. */
function concerns (follower: HostRole, host: HostRole): boolean {
  return follower === HostRole.Entry || host === HostRole.Store
}

interface Change {
  role: HostRole
  /** Undefined when the host is gone. */
  host: FleetHost | undefined
}

export class HostChanges {
  /** By the id of the host. */
  private readonly _hosts = new Map<string, FleetHost>()
  private readonly _pending = new Map<string, Change>()

  /** A host is there, or says something new of itself. */
  set (host: FleetHost): void {
    this._hosts.set(host.hostId, host)
    this._pending.set(host.hostId, { role: host.role, host })
  }

  remove (hostId: string): void {
    const host = this._hosts.get(hostId)
    if (!host) return
    this._hosts.delete(hostId)
    this._pending.set(hostId, { role: host.role, host: undefined })
  }

  all (): FleetHost[] {
    return [...this._hosts.values()]
  }

  /** The whole list, for a follower that is new. */
  wholeFor (follower: HostRole): FleetUpdate {
    return { hosts: this.all().filter(({ role }) => concerns(follower, role)) }
  }

  /** What changed since the last call, for followers of each role; empty updates are left out. */
  take (): Array<{ follower: HostRole, update: FleetUpdate }> {
    const changes = [...this._pending]
    this._pending.clear()
    return Object.values(HostRole).flatMap(follower => {
      const told = changes.filter(([, { role }]) => concerns(follower, role))
      if (told.length === 0) return []
      const changedHosts = told.flatMap(([, { host }]) => host ?? [])
      const lostHostIds = told.flatMap(([hostId, { host }]) => (host ? [] : [hostId]))
      return [{ follower, update: { changedHosts, lostHostIds } }]
    })
  }
}
