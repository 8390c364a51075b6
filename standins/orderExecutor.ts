/**
 * Executes orders one at a time and simulates how engines differ: some refuse
 * an old fencing number, others never check it, and a swap may fail before or
 * after the new version takes effect.
 */
import { request } from 'undici'
import { OrderKind, type EngineRole, type Order, type OrderReply } from '../src/protocol/endpoints.js'
import type { Clock } from '../src/utils/clock.js'

/** A fault that is injected into the next swap of weights. */
export enum SwapFault {
  /** The old version stays in effect, and the reply reports the failure. */
  KeepsOldVersion = 'keepsOld',
  /** The new version takes effect, but the reply is lost. */
  LosesReply = 'losesReply',
  /** The new version takes effect, but the reply reports a failure. */
  ReportsFailure = 'reportsFailure'
}

export type OrderOutcome = { kind: 'reply', reply: OrderReply } | { kind: 'replyLost' }

/** State of an engine that orders change. */
export interface EngineState {
  weightVersion: number
  adapters: string[]
  role: EngineRole
  /** Pauses generation for the duration of the swap and applies the change. */
  swap (apply: () => void): Promise<void>
}

export interface OrderExecutorOptions {
  clock: Clock
  body: EngineState
  checksFencing: boolean
}

interface ExecutedOrder {
  orderId: string
  kind: OrderKind
  fencingNumber: number
  weightVersion: number
}

export class OrderExecutor {
  private readonly _options: OrderExecutorOptions
  private _lastOrder: Promise<unknown> = Promise.resolve()
  private _highestFencingNumber: number | undefined
  private _lastOrderId: string | undefined
  readonly swapFaults: SwapFault[] = []
  /** All executed orders, for checkers. */
  readonly executed: ExecutedOrder[] = []

  constructor (options: OrderExecutorOptions) {
    this._options = options
  }

  get highestFencingNumber (): number | undefined {
    return this._highestFencingNumber
  }

  get lastOrderId (): string | undefined {
    return this._lastOrderId
  }

  /** Queues an order behind earlier ones and resolves with its outcome. */
  async submit (order: Order): Promise<OrderOutcome> {
    const deadlineMs = this._options.clock.nowMs() + order.remaining_ms
    const turn = this._lastOrder.then(async () => await this._execute(order, deadlineMs))
    this._lastOrder = turn.catch(() => {})
    return await turn
  }

  private async _execute (order: Order, deadlineMs: number): Promise<OrderOutcome> {
    const { body: state, checksFencing, clock } = this._options
    const highest = this._highestFencingNumber ?? 0
    if (checksFencing && order.fencing_number < highest) {
      return { kind: 'reply', reply: { kind: 'stale_fence', highest_fencing_number: highest } }
    }
    this._highestFencingNumber = Math.max(highest, order.fencing_number)
    if (clock.nowMs() >= deadlineMs) return failed(state, 'the deadline of the order has passed')
    const outcome = await this._applyOrder(order)
    this._lastOrderId = order.order_id
    this.executed.push({ orderId: order.order_id, kind: order.kind, fencingNumber: order.fencing_number, weightVersion: state.weightVersion })
    return outcome
  }

  private async _applyOrder (order: Order): Promise<OrderOutcome> {
    const { body: state } = this._options
    switch (order.kind) {
      case OrderKind.LoadVersion:
        return await this._loadVersion(order.weight_version, order.source_url)
      case OrderKind.LoadAdapter: {
        const failure = await fetchWeights(order.source_url)
        if (failure !== undefined) return failed(state, failure)
        if (!state.adapters.includes(order.adapter)) state.adapters.push(order.adapter)
        return done(state)
      }
      case OrderKind.SetRole:
        state.role = order.role
        return done(state)
    }
  }

  private async _loadVersion (weightVersion: number, sourceUrl: string): Promise<OrderOutcome> {
    const { body: state } = this._options
    if (state.weightVersion === weightVersion) return done(state)
    const failure = await fetchWeights(sourceUrl)
    if (failure !== undefined) return failed(state, failure)
    const fault = this.swapFaults.shift()
    if (fault === SwapFault.KeepsOldVersion) return failed(state, 'injected fault: the swap failed and the old version stays in effect')
    await state.swap(() => { state.weightVersion = weightVersion })
    if (fault === SwapFault.LosesReply) return { kind: 'replyLost' }
    if (fault === SwapFault.ReportsFailure) return failed(state, 'injected fault: the swap reported a failure after the new version took effect')
    return done(state)
  }
}

function done (state: EngineState): OrderOutcome {
  return { kind: 'reply', reply: { kind: 'done', weight_version: state.weightVersion } }
}

function failed (state: EngineState, message: string): OrderOutcome {
  return { kind: 'reply', reply: { kind: 'failed', message, weight_version: state.weightVersion } }
}

/** Downloads the weights completely; returns the error, or undefined on success. */
async function fetchWeights (url: string): Promise<string | undefined> {
  try {
    const answer = await request(url)
    const expectedBytes = Number(answer.headers['content-length'])
    let readBytes = 0
    for await (const part of answer.body) readBytes += (part as Buffer).length
    if (answer.statusCode !== 200) return `the weight store answered with status ${answer.statusCode}`
    return readBytes === expectedBytes ? undefined : `weight download truncated: got ${readBytes} of ${expectedBytes} bytes`
  } catch (error) {
    return `the weight store cannot be reached: ${String(error)}`
  }
}
