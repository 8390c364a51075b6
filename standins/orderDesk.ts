/**
 * Carries out orders one after another, under the rules that real engines
 * differ in: some refuse an old fencing number, others never look at it, and
 * a swap may fail on either side of its middle.
 */
import { request } from 'undici'
import { OrderKind, type EngineRole, type Order, type OrderReply } from '../src/protocol/endpoints.js'
import type { Clock } from '../src/utils/clock.js'

/** How the next swap goes wrong. */
export enum SwapFault {
  /** The old version stays in force, and the reply says so. */
  KeepsOld = 'keepsOld',
  /** The new version comes into force, but the reply is lost. */
  LosesReply = 'losesReply',
  /** The new version comes into force, but the reply speaks of failure. */
  ReportsFailure = 'reportsFailure'
}

export type OrderOutcome = { kind: 'reply', reply: OrderReply } | { kind: 'replyLost' }

/** The part of an engine that orders change. */
export interface EngineBody {
  weightVersion: number
  adapters: string[]
  role: EngineRole
  /** Stops generation for the moment of the swap. */
  swap (apply: () => void): Promise<void>
}

export interface OrderDeskOptions {
  clock: Clock
  body: EngineBody
  checksFencing: boolean
}

interface ExecutedOrder {
  orderId: string
  kind: OrderKind
  fencingNumber: number
  weightVersion: number
}

export class OrderDesk {
  private readonly _options: OrderDeskOptions
  private _last: Promise<unknown> = Promise.resolve()
  private _highestFencingNumber: number | undefined
  private _lastOrderId: string | undefined
  readonly swapFaults: SwapFault[] = []
  /** Everything that was carried out, for checkers. */
  readonly executed: ExecutedOrder[] = []

  constructor (options: OrderDeskOptions) {
    this._options = options
  }

  get highestFencingNumber (): number | undefined {
    return this._highestFencingNumber
  }

  get lastOrderId (): string | undefined {
    return this._lastOrderId
  }

  /** Queues an order behind those that came before. */
  async take (order: Order): Promise<OrderOutcome> {
    const deadlineMs = this._options.clock.nowMs() + order.remaining_ms
    const turn = this._last.then(async () => await this._execute(order, deadlineMs))
    this._last = turn.catch(() => {})
    return await turn
  }

  private async _execute (order: Order, deadlineMs: number): Promise<OrderOutcome> {
    const { body, checksFencing, clock } = this._options
    const highest = this._highestFencingNumber ?? 0
    if (checksFencing && order.fencing_number < highest) {
      return { kind: 'reply', reply: { kind: 'stale_fence', highest_fencing_number: highest } }
    }
    this._highestFencingNumber = Math.max(highest, order.fencing_number)
    if (clock.nowMs() >= deadlineMs) return failed(body, 'the time of the order has passed')
    const outcome = await this._carryOut(order)
    this._lastOrderId = order.order_id
    this.executed.push({ orderId: order.order_id, kind: order.kind, fencingNumber: order.fencing_number, weightVersion: body.weightVersion })
    return outcome
  }

  private async _carryOut (order: Order): Promise<OrderOutcome> {
    const { body } = this._options
    switch (order.kind) {
      case OrderKind.LoadVersion:
        return await this._loadVersion(order.weight_version, order.source_url)
      case OrderKind.LoadAdapter: {
        const failure = await fetchWeights(order.source_url)
        if (failure !== undefined) return failed(body, failure)
        if (!body.adapters.includes(order.adapter)) body.adapters.push(order.adapter)
        return done(body)
      }
      case OrderKind.SetRole:
        body.role = order.role
        return done(body)
    }
  }

  private async _loadVersion (weightVersion: number, sourceUrl: string): Promise<OrderOutcome> {
    const { body } = this._options
    if (body.weightVersion === weightVersion) return done(body)
    const failure = await fetchWeights(sourceUrl)
    if (failure !== undefined) return failed(body, failure)
    const fault = this.swapFaults.shift()
    if (fault === SwapFault.KeepsOld) return failed(body, 'the swap failed before its middle')
    await body.swap(() => { body.weightVersion = weightVersion })
    if (fault === SwapFault.LosesReply) return { kind: 'replyLost' }
    if (fault === SwapFault.ReportsFailure) return failed(body, 'the swap failed after its middle')
    return done(body)
  }
}

function done (body: EngineBody): OrderOutcome {
  return { kind: 'reply', reply: { kind: 'done', weight_version: body.weightVersion } }
}

function failed (body: EngineBody, message: string): OrderOutcome {
  return { kind: 'reply', reply: { kind: 'failed', message, weight_version: body.weightVersion } }
}

/** Reads the weights to their end; returns what went wrong, if anything. */
async function fetchWeights (url: string): Promise<string | undefined> {
  try {
    const answer = await request(url)
    const expectedBytes = Number(answer.headers['content-length'])
    let readBytes = 0
    for await (const part of answer.body) readBytes += (part as Buffer).length
    if (answer.statusCode !== 200) return `the weight store answered ${answer.statusCode}`
    return readBytes === expectedBytes ? undefined : `read ${readBytes} bytes of ${expectedBytes}`
  } catch (error) {
    return `the weight store cannot be reached: ${String(error)}`
  }
}
