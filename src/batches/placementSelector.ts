/**
 * Selects the service at which each item runs: at random by the weights of its route,
 * as for requests, among the services whose engines have its model. While the selected
 * service has no engine that accepts work, another of these services is used instead.
 */
import type { FleetView } from '../fleet/fleetView.js'
import { chooseService } from '../gateway/routeTable.js'
import type { Routing, RoutingRoute } from '../protocol/routing.js'
import type { RandomSource } from '../utils/randomSource.js'
import type { Placement } from '../batchScheduling/placement.js'
import type { EngineFleet } from '../batchScheduling/engineFleet.js'
import type { SchedulableItem } from '../batchScheduling/schedulableItem.js'

export interface PlacementSelectorOptions {
  view: FleetView
  engines: EngineFleet
  random: RandomSource
  routeOf: (host: string, path: string) => RoutingRoute | undefined
}

/** Placements drawn for one item under one version of the routing configuration. */
interface DrawnPlacements {
  version: number
  /** The selected service first, then the fallbacks. */
  placements: Placement[]
}

export class PlacementSelector {
  private readonly _options: PlacementSelectorOptions
  private readonly _drawn = new WeakMap<SchedulableItem, DrawnPlacements>()

  constructor (options: PlacementSelectorOptions) {
    this._options = options
  }

  /** The present placement of an item; undefined while its route is unknown. */
  placementOf (run: SchedulableItem): Placement | undefined {
    const { routing } = this._options.view
    if (!routing) return undefined
    let drawn = this._drawn.get(run)
    if (drawn?.version !== routing.version || drawn.placements.length === 0) {
      drawn = { version: routing.version, placements: this._draw(run, routing) }
      this._drawn.set(run, drawn)
    }
    const [first, ...others] = drawn.placements
    if (!first || others.length === 0 || this._hasEngines(first)) return first
    return others.find(placement => this._hasEngines(placement)) ?? first
  }

  private _draw ({ batch, item }: SchedulableItem, routing: Routing): Placement[] {
    const route = this._options.routeOf(batch.submission.host, batch.submission.path)
    if (!route) return []
    const engineOf = (service: string) => routing.services.find(({ name }) => name === service)?.engine
    const weighted = route.services.filter(({ weight }) => weight > 0)
    const fitting = weighted.filter(({ service }) => engineOf(service)?.models.includes(item.model) === true)
    const services = fitting.length > 0 ? fitting : weighted
    const chosen = services.length > 1 ? chooseService({ ...route, services }, this._options.random) : services[0]?.service
    const names = services.map(({ service }) => service)
    const ordered = names.filter(name => name === chosen).concat(names.filter(name => name !== chosen))
    return ordered.map(service => ({ service, modelEngine: engineOf(service) }))
  }

  private _hasEngines ({ service }: Placement): boolean {
    return this._options.engines.ofService(service).length > 0
  }
}
