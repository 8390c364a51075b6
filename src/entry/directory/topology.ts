/**
 * Selects the entry hosts that this host connects to: all of its own data
 * centre, and one relay in each other data centre. Different hosts choose
 * different relays, which spreads the load.
 */
import type { EntryHost } from '../../protocol/hostCommands.js'
import { rankByRendezvous } from './rendezvous.js'

export interface TopologyOptions {
  hostId: string
  dataCentre: string
  /** Returns all registered entry hosts. */
  entryHosts: () => EntryHost[]
  connectedHostIds: () => string[]
  /** Whether the state record of a host has not expired, so that the host may be alive. */
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

  /** Returns one host in each other data centre, preferring a connected host. */
  relays (): string[] {
    const connected = new Set(this._options.connectedHostIds())
    return [...this._rankedRelays().values()].map(ranked => ranked.find(hostId => connected.has(hostId)) ?? ranked[0]).filter(hostId => hostId !== undefined)
  }

  /** Returns the hosts to keep connections to. */
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
