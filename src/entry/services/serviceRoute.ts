/**
 * /v1/services/{pool}/{path}: forwards calls to plain services unchanged. A
 * call that changes state runs at most once if it carries an Idempotency-Key;
 * on paths that the pool declares unrepeatable, the key is required.
 */
import type { ConfigurationView } from '../../controlClient/controlClient.js'
import { CallerHeader, callerPaths } from '../../protocol/callers.js'
import { Executed, RefusalReason, type Refusal } from '../../protocol/refusals.js'
import { EndpointKind, ResourceKind, type EndpointPoolSpec } from '../../protocol/resources.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { ResponseWriter } from '../http/responseWriter.js'
import { ANONYMOUS_CALLER, callerOf } from '../http/callerIdentity.js'
import { readBody } from '../http/requestBody.js'
import { ANY_METHOD, type Exchange, type Route } from '../http/route.js'
import type { PlainCalls } from './plainCalls.js'
import { isSafe, type ServiceCall } from './serviceCall.js'
import type { UnrepeatableCalls, UnrepeatableKey, UnrepeatableOutcome } from './unrepeatableCalls.js'

const MAX_KEY_LENGTH = 200

export interface ServiceRouteOptions {
  plainCalls: PlainCalls
  unrepeatable: UnrepeatableCalls
  configuration: ConfigurationView
  responseWriter: ResponseWriter
  random: RandomSource
  maxBodyBytes: number
}

interface Target {
  pool: string
  path: string
  spec: EndpointPoolSpec
}

type KeyOutcome = { kind: 'key', key: UnrepeatableKey } | { kind: 'none' } | { kind: 'refused', refusal: Refusal }

export class ServiceRoute {
  private readonly _options: ServiceRouteOptions

  constructor (options: ServiceRouteOptions) {
    this._options = options
  }

  route (): Route {
    return {
      name: 'services',
      method: ANY_METHOD,
      pathPrefix: callerPaths.services,
      servedWithoutLease: false,
      handle: exchange => this._handle(exchange),
      refuseNewWork: (exchange, refusal) => this._refuseNewWork(exchange, refusal)
    }
  }

  private async _handle (exchange: Exchange): Promise<void> {
    const { responseWriter, plainCalls, maxBodyBytes, configuration } = this._options
    const target = this._target(exchange)
    if (!target) return responseWriter.refuse(exchange, refusal(RefusalReason.UnknownPool, `no service pool serves ${exchange.path}`))
    const key = this._key(exchange, target)
    if (key.kind === 'refused') return responseWriter.refuse(exchange, key.refusal)
    const caller = callerOf(exchange, configuration)
    if (caller.kind === 'refused') return await this._refuse(exchange, key, caller.refusal)
    const read = await readBody(exchange, maxBodyBytes)
    if (read.kind === 'refused') return await this._refuse(exchange, key, read.refusal)
    const { request } = exchange
    const call: ServiceCall = {
      item: {
        requestId: exchange.requestId,
        pool: target.pool,
        callerName: caller.callerName,
        priorityClass: caller.priorityClass,
        bodyBytes: read.body.length,
        expectedTokensCount: 1,
        excludedEndpointIds: []
      },
      method: request.method ?? 'GET',
      path: target.path,
      headers: request.headers,
      body: read.body
    }
    if (key.kind === 'none') return await plainCalls.run(exchange, call)
    this._respond(exchange, await this._options.unrepeatable.run(key.key, call, exchange.requestId, exchange.progress))
  }

  /** Refuses a call that this host may not accept now; a reported "not run" must hold for every attempt of the key. */
  private async _refuseNewWork (exchange: Exchange, given: Refusal): Promise<void> {
    const target = this._target(exchange)
    const key = target ? this._key(exchange, target) : { kind: 'none' as const }
    await this._refuse(exchange, key, given)
  }

  private async _refuse (exchange: Exchange, key: KeyOutcome, given: Refusal): Promise<void> {
    if (key.kind !== 'key') return this._options.responseWriter.refuse(exchange, given)
    this._respond(exchange, await this._options.unrepeatable.releaseAndRefuse(key.key, this._options.random.id(), given))
  }

  private _respond (exchange: Exchange, outcome: UnrepeatableOutcome): void {
    const { responseWriter } = this._options
    if (outcome.kind === 'refused') return responseWriter.refuse(exchange, { callLog: [...exchange.progress.callLog], ...outcome.refusal })
    const { status, contentType, body } = outcome.answer
    const headers: Record<string, string> = {}
    if (contentType !== undefined) headers['content-type'] = contentType
    if (outcome.replayed) headers[CallerHeader.Replayed] = 'true'
    responseWriter.text(exchange, status, body, headers)
  }

  private _target ({ path, request }: Exchange): Target | undefined {
    const rest = path.slice(callerPaths.services.length)
    const slash = rest.indexOf('/')
    const pool = slash < 0 ? rest : rest.slice(0, slash)
    const spec = this._options.configuration.get(ResourceKind.EndpointPool, pool)?.spec
    if (spec?.endpointKind !== EndpointKind.Service) return undefined
    const url = request.url ?? ''
    const queryStart = url.indexOf('?')
    const query = queryStart < 0 ? '' : url.slice(queryStart)
    return { pool, path: `${slash < 0 ? '/' : rest.slice(slash)}${query}`, spec }
  }

  private _key ({ request }: Exchange, { path, spec }: Target): KeyOutcome {
    const method = request.method ?? 'GET'
    if (isSafe(method)) return { kind: 'none' }
    const given = request.headers[CallerHeader.IdempotencyKey]
    const isDeclared = spec.unrepeatablePaths.some(prefix => path.startsWith(prefix))
    if (given === undefined || given === '') {
      if (!isDeclared) return { kind: 'none' }
      return { kind: 'refused', refusal: refusal(RefusalReason.IdempotencyKeyRequired, `${method} ${path} may run at most once and requires the header ${CallerHeader.IdempotencyKey}`) }
    }
    if (typeof given !== 'string' || given.length > MAX_KEY_LENGTH) {
      return { kind: 'refused', refusal: refusal(RefusalReason.MalformedRequest, `${CallerHeader.IdempotencyKey} must be a single value of at most ${MAX_KEY_LENGTH} characters`) }
    }
    const callerName = request.headers[CallerHeader.CallerName]
    return { kind: 'key', key: { callerName: typeof callerName === 'string' ? callerName : ANONYMOUS_CALLER, idempotencyKey: given } }
  }
}

function refusal (reason: RefusalReason, message: string): Refusal {
  return { reason, executed: Executed.No, message }
}
