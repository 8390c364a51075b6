/**
 * Which service each item runs at: drawn by the weights of its route, as requests
 * are, among the services whose engines have its model. While the drawn one has no
 * engine that takes work, another one of them stands in.
 */
import type { FleetView } from '../fleet/fleetView.js'
import { chooseService } from '../gateway/routeTable.js'
import type { Routing, RoutingRoute } from '../protocol/routing.js'
import type { RandomSource } from '../utils/randomSource.js'
import type { RunPlace } from './assignmentRound.js'
import type { EngineFleet } from './engineFleet.js'
import type { ItemRun } from './itemRun.js'

export interface RunPlacesParts {
  view: FleetView
  engines: EngineFleet
  random: RandomSource
  routeOf: (host: string, path: string) => RoutingRoute | undefined
}

/** What was drawn for one item under one version of the routing configuration. */
interface DrawnPlaces {
  version: number
  /** The drawn one first. */
  places: RunPlace[]
}

export class RunPlaces {
  private readonly _parts: RunPlacesParts
  private readonly _drawn = new WeakMap<ItemRun, DrawnPlaces>()

  constructor (parts: RunPlacesParts) {
    this._parts = parts
  }

  /** Undefined while the item's route is not known. */
  of (run: ItemRun): RunPlace | undefined {
    const { routing } = this._parts.view
    if (!routing) return undefined
    let drawn = this._drawn.get(run)
    if (drawn?.version !== routing.version || drawn.places.length === 0) {
      drawn = { version: routing.version, places: this._draw(run, routing) }
      this._drawn.set(run, drawn)
    }
    const [first, ...others] = drawn.places
    if (!first || others.length === 0 || this._hasEngines(first)) return first
    return others.find(place => this._hasEngines(place)) ?? first
  }

  private _draw ({ batch, item }: ItemRun, routing: Routing): RunPlace[] {
    const route = this._parts.routeOf(batch.submission.host, batch.submission.path)
    if (!route) return []
    const engineOf = (service: string) => routing.services.find(({ name }) => name === service)?.engine
    const weighted = route.services.filter(({ weight }) => weight > 0)
    const fitting = weighted.filter(({ service }) => engineOf(service)?.models.includes(item.model) === true)
    const services = fitting.length > 0 ? fitting : weighted
    const chosen = services.length > 1 ? chooseService({ ...route, services }, this._parts.random) : services[0]?.service
    const names = services.map(({ service }) => service)
    const ordered = names.filter(name => name === chosen).concat(names.filter(name => name !== chosen))
    return ordered.map(service => ({ service, modelEngine: engineOf(service) }))
  }

  private _hasEngines ({ service }: RunPlace): boolean {
    return this._parts.engines.ofService(service).length > 0
  }
}
