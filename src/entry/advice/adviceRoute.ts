/**
 * Advice to callers: which entry hosts to use, and how long the advice may be
 * cached. Hosts of the caller's data centre come first. Within a data centre
 * the order is random and weighted towards hosts with fewer requests in flight,
 * so that callers are spread.
 */
import { callerPaths, type Advice } from '../../protocol/callers.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { HostState, HostStates } from '../directory/hostStates.js'
import type { ResponseWriter } from '../http/responseWriter.js'
import type { Exchange, Route } from '../http/route.js'

const NEAR_HOSTS_COUNT = 3
const FAR_HOSTS_COUNT = 2

export interface AdviceRouteOptions {
  dataCentre: string
  hosts: HostStates
  random: RandomSource
  responseWriter: ResponseWriter
  adviceValidMs: number
  revision: () => number
}

export class AdviceRoute {
  private readonly _options: AdviceRouteOptions

  constructor (options: AdviceRouteOptions) {
    this._options = options
  }

  route (): Route {
    return {
      name: 'advice',
      method: 'GET',
      pathPrefix: callerPaths.advice,
      servedWithoutLease: true,
      handle: async exchange => this._handle(exchange)
    }
  }

  advise (callerDataCentre: string | undefined): Advice {
    const { dataCentre, hosts, adviceValidMs, revision } = this._options
    const serving = hosts.serving()
    const near = serving.filter(host => host.dataCentre === (callerDataCentre ?? dataCentre))
    const far = serving.filter(host => !near.includes(host))
    const chosen = [...this._spread(near, NEAR_HOSTS_COUNT), ...this._spread(far, FAR_HOSTS_COUNT)]
    return { hosts: chosen.map(host => host.callerAddress), validForMs: adviceValidMs, revision: revision() }
  }

  private _handle (exchange: Exchange): void {
    const advice = this.advise(exchange.query.get('dataCentre') ?? undefined)
    const headers = { 'cache-control': `max-age=${Math.floor(advice.validForMs / 1000)}` }
    this._options.responseWriter.json(exchange, 200, advice, headers)
  }

  /** Weighted random sampling without replacement: the probability of a host falls with its load. */
  private _spread (hosts: HostState[], count: number): HostState[] {
    const keyed = hosts.map(host => ({ host, key: this._options.random.real() ** (1 + host.inFlightCount) }))
    keyed.sort((a, b) => b.key - a.key)
    return keyed.slice(0, count).map(({ host }) => host)
  }
}
