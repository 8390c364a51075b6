/**
 * Which entry hosts this one talks to: all of its data centre, and one relay
 * in each other. Hosts pick different relays, so that the work is spread.
 */
import type { EntryHost } from '../../protocol/hostCommands.js'
import { rankByRendezvous } from './rendezvous.js'

export interface TopologyOptions {
  hostId: string
  dataCentre: string
  /** All registered entry hosts. */
  entryHosts: () => EntryHost[]
  connectedHostIds: () => string[]
  /** Whether a host is known to live; a host that was never heard of may. */
  mayBeAlive: (hostId: string) => boolean
}

export class Topology {
  private readonly _options: TopologyOptions

  constructor (options: TopologyOptions) {
    this._options = options
  }

  peersInDataCentre (): string[] {
    return this._peers().filter(host => host.dataCentre === this._options.dataCentre).map(host => host.hostId)
  }

  peersNearestFirst (): string[] {
    const near = new Set(this.peersInDataCentre())
    const far = this._peers().map(host => host.hostId).filter(hostId => !near.has(hostId))
    return [...near, ...far]
  }

  /** One host in each other data centre, a connected one if there is any. */
  relays (): string[] {
    const connected = new Set(this._options.connectedHostIds())
    return [...this._rankedRelays().values()].map(ranked => ranked.find(hostId => connected.has(hostId)) ?? ranked[0]).filter(hostId => hostId !== undefined)
  }

  /** The hosts to stay connected with. */
  wantedConnections (): string[] {
    const preferred = [...this._rankedRelays().values()].map(ranked => ranked.find(hostId => this._options.mayBeAlive(hostId)) ?? ranked[0])
    return [...this.peersInDataCentre(), ...preferred.filter(hostId => hostId !== undefined)]
  }

  private _rankedRelays (): Map<string, string[]> {
    const byDataCentre = new Map<string, string[]>()
    for (const host of this._peers()) {
      if (host.dataCentre === this._options.dataCentre) continue
      byDataCentre.set(host.dataCentre, [...byDataCentre.get(host.dataCentre) ?? [], host.hostId])
    }
    for (const [dataCentre, hostIds] of byDataCentre) byDataCentre.set(dataCentre, rankByRendezvous(this._options.hostId, hostIds))
    return byDataCentre
  }

  private _peers (): EntryHost[] {
    return this._options.entryHosts().filter(host => host.hostId !== this._options.hostId)
  }
}
