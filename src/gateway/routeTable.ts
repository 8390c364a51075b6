/**
 * Finds the route of a request: among the routes of its host, the one with the
 * longest path prefix that matches.
 */
import type { RandomSource } from '../utils/randomSource.js'
import type { Routing, RoutingRoute } from '../protocol/routing.js'

export class RouteTable {
  readonly version: number
  private readonly _byHost = new Map<string, RoutingRoute[]>()

  constructor (routing: Routing) {
    this.version = routing.version
    for (const route of routing.routes) {
      const routes = this._byHost.get(route.host) ?? []
      routes.push(route)
      this._byHost.set(route.host, routes)
    }
    for (const routes of this._byHost.values()) routes.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length)
  }

  /** @param path without the query string */
  find (host: string, path: string): RoutingRoute | undefined {
    return this._byHost.get(host)?.find(({ pathPrefix }) => path.startsWith(pathPrefix))
  }
}

/** Caches the table of the routing configuration in force. */
export class CurrentRoutes {
  private _table: RouteTable | undefined

  /** Returns the table of a routing configuration; rebuilds it when the version has changed. */
  of (routing: Routing): RouteTable {
    if (this._table?.version !== routing.version) this._table = new RouteTable(routing)
    return this._table
  }
}

/** Returns a function that finds the route of a request in the latest routing configuration of a view. */
export function routeFinder (view: { readonly routing: Routing | undefined }): (host: string, path: string) => RoutingRoute | undefined {
  const routes = new CurrentRoutes()
  return (host, path) => view.routing && routes.of(view.routing).find(host, path)
}

/** Draws one of the services of a route, in proportion to their weights. */
export function chooseService (route: RoutingRoute, random: RandomSource): string {
  const totalWeight = route.services.reduce((sum, { weight }) => sum + weight, 0)
  let remainingWeight = random.real() * totalWeight
  for (const { service, weight } of route.services) {
    remainingWeight -= weight
    if (remainingWeight < 0 && weight > 0) return service
  }
  return route.services.findLast(({ weight }) => weight > 0)?.service ?? ''
}
