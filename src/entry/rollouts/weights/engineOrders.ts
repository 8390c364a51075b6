/**
 * Client for orders to engines and for queries of their state.
 */
import { request } from 'undici'
import { endpointStateSchema, orderReplySchema, type EndpointState, type Order, type OrderReply } from '../../../protocol/endpoints.js'
import type { Progress } from '../../../utils/progress.js'

export type OrderOutcome =
  | { kind: 'replied', reply: OrderReply }
  /** The outcome is unknown; the engine may still execute the order. */
  | { kind: 'lost', message: string }

export type StateOutcome = { kind: 'state', state: EndpointState } | { kind: 'unreachable', message: string }

export interface EngineOrders {
  order (url: string, order: Order, progress: Progress): Promise<OrderOutcome>
  readState (url: string, progress: Progress): Promise<StateOutcome>
}

/** The HTTP implementation. Sends each order once, without retries. */
export const httpEngineOrders: EngineOrders = {
  async order (url, order, progress) {
    try {
      const body: unknown = await exchange(`${url}/v1/orders`, progress, order)
      return { kind: 'replied', reply: orderReplySchema.parse(body) }
    } catch (error) {
      progress.scope.throwIfClosed()
      return { kind: 'lost', message: String(error) }
    }
  },
  async readState (url, progress) {
    try {
      const body: unknown = await exchange(`${url}/v1/state`, progress)
      return { kind: 'state', state: endpointStateSchema.parse(body) }
    } catch (error) {
      progress.scope.throwIfClosed()
      return { kind: 'unreachable', message: String(error) }
    }
  }
}

async function exchange (url: string, progress: Progress, body?: unknown): Promise<unknown> {
  const scope = progress.scope.child('exchange')
  try {
    const answer = await request(url, {
      method: body === undefined ? 'GET' : 'POST',
      // A connection for each call: the reply carries no id that would tell whose it is.
      reset: true,
      headers: { 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: progress.remainingMs(),
      bodyTimeout: progress.remainingMs(),
      signal: scope.signal()
    })
    return await answer.body.json()
  } finally {
    scope.close('exchange over')
  }
}
