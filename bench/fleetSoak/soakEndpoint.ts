/**
 * A stand-in endpoint of the platform: a service that answers, or an engine that
 * streams the events of items under the version of its weights. It announces
 * itself to one control host as long as that answers, and notes all that
 * reaches it.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { request } from 'undici'
import { WireHeader, WirePath } from '../../platform/wireNames.js'
import { answerTo, DEADLY_ID, eventsCountOf, eventText, type SoakRecord } from './soakRecord.js'

export const MODEL = 'practice-lm'
export enum SoakService {
  Decks = 'decks',
  Engines = 'engines'
}

export const HEARTBEAT_MS = 1_200
export const SLOTS_COUNT = 6
const CALL_TIMEOUT_MS = 1_000
const RETRY_PAUSE_MS = 60
const ANSWER_MS = 15
/** Every fifth answer takes longer, so that some are under way whenever an endpoint ends. */
const SLOW_ANSWER_MS = 250
const SLOW_EACH = 5
const EVENT_GAP_MS = 25
/** A deadly request ends its endpoint so long after it began to run. */
const ENDS_AFTER_MS = 60
const LOAD_MS = 250
/** An endpoint serves on a little longer than it has to. */
const LINGER_MS = 4_000
/** No confirmation comes: it ends all the same. */
const LEAVE_PATIENCE_MS = 5_000

export interface SoakEndpointParts {
  name: string
  service: SoakService
  ip: string
  port: number
  dataCentre: string
  record: SoakRecord
  nowMs: () => number
  controlAddresses: () => string[]
  /** Told when a request ends it. */
  onDeadly: (endpoint: SoakEndpoint, callerId: string) => void
}

export class SoakEndpoint {
  readonly parts: SoakEndpointParts
  private readonly _server: Server
  private _version = 1
  private _isLoading = false
  private _runningCount = 0
  private _ordersCount = 0
  private _answersCount = 0
  private _highestFence = 0
  private _sequence = 0
  private _homeNumber: number
  private _isLeaving = false
  private _isOver = false

  /** @param homeNumber which of the control hosts it announces itself to first */
  constructor (parts: SoakEndpointParts, homeNumber: number) {
    this.parts = parts
    this._homeNumber = homeNumber
    this._server = createServer({ noDelay: true }, (incoming, response) => this._answer(incoming, response))
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(this.parts.port, this.parts.ip, resolve)
    })
    this._beat().catch(error => { throw error })
  }

  /** The control host that it keeps to. */
  get homeAddress (): string {
    const addresses = this.parts.controlAddresses()
    return addresses[this._homeNumber % addresses.length] ?? ''
  }

  get isOver (): boolean {
    return this._isOver
  }

  /** Ends without a word. */
  crash (): void {
    this._isOver = true
    this._server.close()
    this._server.closeAllConnections()
  }

  /** Says that it drains, serves on, takes its leave and ends. */
  async drain (): Promise<void> {
    this._isLeaving = true
    await this._confirmed(() => this._announce('draining'))
    await pause(LINGER_MS)
    await this._confirmed(async () => await this._call('deregister', ''))
    this.crash()
  }

  /** Takes its leave without having said that it drains. */
  async leave (): Promise<void> {
    this._isLeaving = true
    await this._confirmed(async () => await this._call('deregister', ''))
    await pause(LINGER_MS)
    this.crash()
  }

  private async _confirmed (tell: () => Promise<boolean>): Promise<void> {
    const givesUpAtMs = this.parts.nowMs() + LEAVE_PATIENCE_MS
    while (!this._isOver && this.parts.nowMs() < givesUpAtMs) {
      if (await tell()) {
        const { record, name, nowMs } = this.parts
        if (!record.leaves.some(({ endpointName }) => endpointName === name)) record.leaves.push({ endpointName: name, confirmedAtMs: nowMs() })
        return
      }
      await pause(RETRY_PAUSE_MS)
    }
  }

  private async _beat (): Promise<void> {
    while (!this._isOver && !this._isLeaving) {
      const isTaken = await this._announce('ready')
      await pause(isTaken ? HEARTBEAT_MS : RETRY_PAUSE_MS)
    }
  }

  private async _announce (state: string): Promise<boolean> {
    const { service, ip, port, dataCentre } = this.parts
    const models = service === SoakService.Engines ? [{ name: MODEL, version: this._version }] : []
    return await this._call('heartbeat', JSON.stringify({ service, address: `${ip}:${port}`, zone: dataCentre, version: 'v1', slots: SLOTS_COUNT, state, 'cold-left-ms': 0, models, seq: ++this._sequence }))
  }

  /** Turns to the next control host when this one does not take the call. */
  private async _call (verb: string, body: string): Promise<boolean> {
    const address = this.homeAddress
    try {
      const answer = await request(`http://${address}${WirePath.Endpoints}${this.parts.name}/${verb}`, { method: 'POST', body, signal: AbortSignal.timeout(CALL_TIMEOUT_MS) })
      await answer.body.dump()
      if (answer.statusCode === 200) return true
    } catch {
      // A control host that is down or does not answer: the next one is asked.
    }
    this._homeNumber++
    return false
  }

  private _answer (incoming: IncomingMessage, response: ServerResponse): void {
    response.on('error', () => {})
    readText(incoming).then(body => this._serve(incoming, response, body), () => response.destroy())
  }

  private _serve (incoming: IncomingMessage, response: ServerResponse, body: string): void {
    if (this._isOver) {
      response.destroy()
      return
    }
    if (incoming.url === WirePath.Report) return this._report(response)
    if (incoming.url === WirePath.Order) return this._order(response, body)
    const attemptId = String(incoming.headers[WireHeader.AttemptId])
    const refusedStatus = this._refusalOf(incoming)
    if (refusedStatus !== undefined) return this._refuse(incoming, response, refusedStatus)
    this._note(incoming, true)
    this._runningCount++
    response.once('close', () => { this._runningCount-- })
    if (this._endsUnder(attemptId)) return
    if (this.parts.service === SoakService.Engines) return this._stream(response, attemptId, Number(incoming.headers[WireHeader.LastEventId] ?? 0))
    const answerMs = this._answersCount++ % SLOW_EACH === 0 ? SLOW_ANSWER_MS : ANSWER_MS
    setTimeout(() => response.writeHead(200, this._heads(attemptId)).end(answerTo(attemptId)), answerMs)
  }

  /** Undefined for what it runs. */
  private _refusalOf ({ headers }: IncomingMessage): number | undefined {
    const isMine = (headers[WireHeader.ExpectEndpoint] ?? this.parts.name) === this.parts.name
    if (!isMine) return 421
    return this._runningCount >= SLOTS_COUNT || this._isLoading ? 503 : undefined
  }

  private _endsUnder (attemptId: string): boolean {
    const callerId = DEADLY_ID.exec(attemptId)?.[1]
    if (callerId === undefined) return false
    setTimeout(() => { if (!this._isOver) this.parts.onDeadly(this, callerId) }, ENDS_AFTER_MS)
    return true
  }

  private _refuse (incoming: IncomingMessage, response: ServerResponse, status: number): void {
    if (status !== 421) this._note(incoming, false)
    response.writeHead(status, { [WireHeader.AttemptId]: String(incoming.headers[WireHeader.AttemptId]), [WireHeader.NotExecuted]: '1' }).end()
  }

  private _stream (response: ServerResponse, itemId: string, afterEventId: number): void {
    const version = this._version
    response.writeHead(200, { ...this._heads(itemId), [WireHeader.WeightVersion]: String(version), 'content-type': 'text/event-stream' })
    let eventId = afterEventId
    const timer = setInterval(() => {
      if (++eventId <= eventsCountOf(itemId)) response.write(`id: ${eventId}\ndata: ${eventText(itemId, eventId, version)}\n\n`)
      if (eventId < eventsCountOf(itemId)) return
      clearInterval(timer)
      response.end()
    }, EVENT_GAP_MS)
    response.once('close', () => clearInterval(timer))
  }

  private _heads (attemptId: string): Record<string, string> {
    return { [WireHeader.AttemptId]: attemptId, [WireHeader.Receipt]: `stamp.${this.parts.name}.${attemptId}` }
  }

  private _report (response: ServerResponse): void {
    const models = [{ name: MODEL, version: this._version, adapters: [] }]
    sendJson(response, 200, { stage: 'hybrid', models, busy: this._isLoading, seq: this._ordersCount, waiting: 0, running: this._runningCount })
  }

  /** Loads a version once what runs has ended, as engines that cannot change under a run do. */
  private _order (response: ServerResponse, body: string): void {
    const order = JSON.parse(body) as { version: number, 'fencing-token': number, 'expected-rev': number }
    if (order['fencing-token'] < this._highestFence) return sendJson(response, 412, {})
    this._highestFence = order['fencing-token']
    if (order.version === this._version && !this._isLoading) return sendJson(response, 200, {})
    if (this._isLoading || order['expected-rev'] !== this._ordersCount) return sendJson(response, 409, {})
    this._ordersCount++
    this._isLoading = true
    const load = (): void => {
      if (this._runningCount > 0) {
        setTimeout(load, EVENT_GAP_MS)
        return
      }
      setTimeout(() => {
        this._version = order.version
        this._isLoading = false
      }, LOAD_MS)
    }
    load()
    sendJson(response, 202, {})
  }

  private _note ({ headers, socket }: IncomingMessage, isRun: boolean): void {
    const { record, name, nowMs } = this.parts
    record.arrivals.push({ attemptId: String(headers[WireHeader.AttemptId]), endpointName: name, fromIp: socket.remoteAddress ?? '', atMs: nowMs(), isRun })
  }
}

async function readText (incoming: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  for await (const chunk of incoming) chunks.push(chunk as Buffer)
  return Buffer.concat(chunks).toString()
}

function sendJson (response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

export async function pause (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
