/**
 * Which entry hosts this one talks to: all of its data centre, and one relay
 * in each other. Hosts pick different relays, so that the work is spread.
 */
import type { EntryHost } from '../../protocol/hostCommands.js'
import { rankByRendezvous } from './rendezvous.js'

export interface TopologyParts {
  hostId: string
  dataCentre: string
  /** All registered entry hosts. */
  entryHosts: () => EntryHost[]
  connectedHostIds: () => string[]
  /** Whether a host is known to live; a host that was never heard of may. */
  mayLive: (hostId: string) => boolean
}

export class Topology {
  private readonly _parts: TopologyParts

  constructor (parts: TopologyParts) {
    this._parts = parts
  }

  othersNear (): string[] {
    return this._others().filter(host => host.dataCentre === this._parts.dataCentre).map(host => host.hostId)
  }

  othersNearestFirst (): string[] {
    const near = new Set(this.othersNear())
    const far = this._others().map(host => host.hostId).filter(hostId => !near.has(hostId))
    return [...near, ...far]
  }

  /** One host in each other data centre, a connected one if there is any. */
  relays (): string[] {
    const connected = new Set(this._parts.connectedHostIds())
    return [...this._rankedRelays().values()].map(ranked => ranked.find(hostId => connected.has(hostId)) ?? ranked[0]).filter(hostId => hostId !== undefined)
  }

  /** The hosts to stay connected with. */
  wantedConnections (): string[] {
    const preferred = [...this._rankedRelays().values()].map(ranked => ranked.find(hostId => this._parts.mayLive(hostId)) ?? ranked[0])
    return [...this.othersNear(), ...preferred.filter(hostId => hostId !== undefined)]
  }

  private _rankedRelays (): Map<string, string[]> {
    const byDataCentre = new Map<string, string[]>()
    for (const host of this._others()) {
      if (host.dataCentre === this._parts.dataCentre) continue
      byDataCentre.set(host.dataCentre, [...byDataCentre.get(host.dataCentre) ?? [], host.hostId])
    }
    for (const [dataCentre, hostIds] of byDataCentre) byDataCentre.set(dataCentre, rankByRendezvous(this._parts.hostId, hostIds))
    return byDataCentre
  }

  private _others (): EntryHost[] {
    return this._parts.entryHosts().filter(host => host.hostId !== this._parts.hostId)
  }
}
