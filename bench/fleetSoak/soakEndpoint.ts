/**
 * A stand-in endpoint: a service that responds to requests, or an engine that
 * streams the events of items under its current weight version. It announces
 * itself to one control host for as long as that responds, and records all
 * requests that reach it.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { request } from 'undici'
import { WireHeader, WirePath } from '../../platform/wireNames.js'
import { AnswerGarbler } from './garbledAnswers.js'
import { responseTo, POISON_ID, WORK_ID, eventsCountOf, eventText, type SoakRecord } from './soakRecord.js'

export const MODEL = 'practice-lm'
export enum SoakService {
  Decks = 'decks',
  Engines = 'engines'
}

export const HEARTBEAT_MS = 1_200
export const SLOTS_COUNT = 6
const CALL_TIMEOUT_MS = 1_000
const RETRY_PAUSE_MS = 60
const RESPONSE_MS = 15
/** Every fifth response takes longer, so that some are in flight whenever an endpoint stops. */
const SLOW_RESPONSE_MS = 250
const SLOW_RESPONSE_INTERVAL = 5
const EVENT_GAP_MS = 25
/** Every fourth answer has no end while an endpoint pours. */
const POURING_INTERVAL = 4
const POURED_PIECE = Buffer.alloc(64 * 1024, 'x')
/** Every seventh response reports that its machine is slowed down. */
const SLOWED_INTERVAL = 7
const SLOWED_PERCENT = 250
const USUAL_PERCENT = 100
/** A poison request crashes its endpoint this long after it started to run. */
const CRASH_AFTER_MS = 60
const LOAD_MS = 250
/** Somewhat longer than an endpoint has to keep serving. */
const LINGER_MS = 4_000
/** The endpoint stops after this time even without a confirmation. */
const DEREGISTER_TIMEOUT_MS = 5_000

export interface SoakEndpointOptions {
  name: string
  service: SoakService
  ip: string
  port: number
  dataCentre: string
  record: SoakRecord
  nowMs: () => number
  controlAddresses: () => string[]
  /** Called when a request is to crash the endpoint. */
  onPoisonRequest: (endpoint: SoakEndpoint, callerId: string) => void
}

export class SoakEndpoint {
  readonly options: SoakEndpointOptions
  private readonly _server: Server
  private readonly _garbler = new AnswerGarbler()
  private _version = 1
  private _isLoading = false
  private _runningCount = 0
  private _ordersCount = 0
  private _responsesCount = 0
  private _highestFence = 0
  private _sequence = 0
  private _controlHostIndex: number
  private _isLeaving = false
  private _isStopped = false
  private _isPouring = false
  private _pouringCandidatesCount = 0

  /** @param controlHostIndex index of the control host that it announces itself to first */
  constructor (options: SoakEndpointOptions, controlHostIndex: number) {
    this.options = options
    this._controlHostIndex = controlHostIndex
    this._server = createServer({ noDelay: true }, (incoming, response) => this._handle(incoming, response))
  }

  async start (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this._server.once('error', reject)
      this._server.listen(this.options.port, this.options.ip, resolve)
    })
    this._sendHeartbeats().catch(error => { throw error })
  }

  /** The control host that it currently announces itself to. */
  get controlAddress (): string {
    const addresses = this.options.controlAddresses()
    return addresses[this._controlHostIndex % addresses.length] ?? ''
  }

  get isStopped (): boolean {
    return this._isStopped
  }

  /** Stops without notifying anybody. */
  crash (): void {
    this._isStopped = true
    this._garbler.resetUnfinished()
    this._server.close()
    this._server.closeAllConnections()
  }

  /** Garbles some of its answers for a while. */
  async garble (forMs: number): Promise<void> {
    this._garbler.isActive = true
    await pause(forMs)
    this._garbler.isActive = false
  }

  /** Sends some of its answers without end for a while. */
  async pour (forMs: number): Promise<void> {
    this._isPouring = true
    await pause(forMs)
    this._isPouring = false
  }

  /** Announces that it drains, keeps serving for a while, deregisters and stops. */
  async drain (): Promise<void> {
    this._isLeaving = true
    await this._retryUntilConfirmed(() => this._announce('draining'))
    await pause(LINGER_MS)
    await this._retryUntilConfirmed(async () => await this._call('deregister', ''))
    this.crash()
  }

  /** Deregisters without draining first. */
  async leave (): Promise<void> {
    this._isLeaving = true
    await this._retryUntilConfirmed(async () => await this._call('deregister', ''))
    await pause(LINGER_MS)
    this.crash()
  }

  private async _retryUntilConfirmed (send: () => Promise<boolean>): Promise<void> {
    const deadlineMs = this.options.nowMs() + DEREGISTER_TIMEOUT_MS
    while (!this._isStopped && this.options.nowMs() < deadlineMs) {
      if (await send()) {
        const { record, name, nowMs } = this.options
        if (!record.leaves.some(({ endpointName }) => endpointName === name)) record.leaves.push({ endpointName: name, confirmedAtMs: nowMs() })
        return
      }
      await pause(RETRY_PAUSE_MS)
    }
  }

  private async _sendHeartbeats (): Promise<void> {
    while (!this._isStopped && !this._isLeaving) {
      const isAccepted = await this._announce('ready')
      await pause(isAccepted ? HEARTBEAT_MS : RETRY_PAUSE_MS)
    }
  }

  private async _announce (state: string): Promise<boolean> {
    const { service, ip, port, dataCentre } = this.options
    const models = service === SoakService.Engines ? [{ name: MODEL, version: this._version }] : []
    return await this._call('heartbeat', JSON.stringify({ service, address: `${ip}:${port}`, zone: dataCentre, version: 'v1', slots: SLOTS_COUNT, state, 'cold-left-ms': 0, models, seq: ++this._sequence }))
  }

  /** Moves on to the next control host when this one does not accept the call. */
  private async _call (verb: string, body: string): Promise<boolean> {
    const address = this.controlAddress
    try {
      const response = await request(`http://${address}${WirePath.Endpoints}${this.options.name}/${verb}`, { method: 'POST', body, signal: AbortSignal.timeout(CALL_TIMEOUT_MS) })
      await response.body.dump()
      if (response.statusCode === 200) return true
    } catch {
      // The control host is down or does not respond: the next one is tried.
    }
    this._controlHostIndex++
    return false
  }

  private _handle (incoming: IncomingMessage, response: ServerResponse): void {
    response.on('error', () => {})
    readText(incoming).then(body => this._serve(incoming, response, body), () => response.destroy())
  }

  private _serve (incoming: IncomingMessage, response: ServerResponse, body: string): void {
    if (this._isStopped) {
      response.destroy()
      return
    }
    this._garbler.sendCopy(incoming.socket)
    if (incoming.url === WirePath.Report) return this._report(response)
    if (incoming.url === WirePath.Order) return this._order(response, body)
    const attemptId = String(incoming.headers[WireHeader.AttemptId])
    const refusedStatus = this._refusalOf(incoming)
    if (refusedStatus !== undefined) return this._refuse(incoming, response, refusedStatus)
    this._recordArrival(incoming, true)
    this._runningCount++
    response.once('close', () => { this._runningCount-- })
    if (this._crashesUnder(attemptId)) return
    if (this._isPouring && this._pouringCandidatesCount++ % POURING_INTERVAL === 0) return this._pour(response, attemptId)
    if (this.options.service === SoakService.Engines) return this._stream(response, attemptId, Number(incoming.headers[WireHeader.LastEventId] ?? 0))
    setTimeout(() => this._garbler.send(response, 200, this._responseHeaders(attemptId), responseTo(attemptId)), this._workMs(attemptId))
  }

  /** Writes until the caller closes the connection, in an event if it is an engine. */
  private _pour (response: ServerResponse, attemptId: string): void {
    const isEngine = this.options.service === SoakService.Engines
    response.writeHead(200, { ...this._responseHeaders(attemptId), [WireHeader.WeightVersion]: String(this._version), ...(isEngine ? { 'content-type': 'text/event-stream' } : {}) })
    response.write(isEngine ? 'id: 1\ndata: ' : '')
    const again = (): void => {
      if (response.destroyed || this._isStopped) return
      if (response.write(POURED_PIECE)) setImmediate(again)
      else response.once('drain', again)
    }
    again()
  }

  private _workMs (attemptId: string): number {
    const workMs = WORK_ID.exec(attemptId)?.[1]
    if (workMs !== undefined) return Number(workMs)
    return this._responsesCount++ % SLOW_RESPONSE_INTERVAL === 0 ? SLOW_RESPONSE_MS : RESPONSE_MS
  }

  /** The status that a request is refused with; undefined if it runs. */
  private _refusalOf ({ headers }: IncomingMessage): number | undefined {
    const isExpected = (headers[WireHeader.ExpectEndpoint] ?? this.options.name) === this.options.name
    if (!isExpected) return 421
    return this._runningCount >= SLOTS_COUNT || this._isLoading ? 503 : undefined
  }

  private _crashesUnder (attemptId: string): boolean {
    const callerId = POISON_ID.exec(attemptId)?.[1]
    if (callerId === undefined) return false
    setTimeout(() => { if (!this._isStopped) this.options.onPoisonRequest(this, callerId) }, CRASH_AFTER_MS)
    return true
  }

  private _refuse (incoming: IncomingMessage, response: ServerResponse, status: number): void {
    if (status !== 421) this._recordArrival(incoming, false)
    this._garbler.send(response, status, { [WireHeader.AttemptId]: String(incoming.headers[WireHeader.AttemptId]), [WireHeader.NotExecuted]: '1' }, '')
  }

  private _stream (response: ServerResponse, itemId: string, afterEventId: number): void {
    const version = this._version
    const headers = { ...this._responseHeaders(itemId), [WireHeader.WeightVersion]: String(version), 'content-type': 'text/event-stream' }
    const resetAfterCount = this._garbler.begin(response, headers, eventsCountOf(itemId) - afterEventId)
    let eventId = afterEventId
    const timer = setInterval(() => {
      if (resetAfterCount !== undefined && eventId - afterEventId >= resetAfterCount) return response.socket?.resetAndDestroy()
      if (++eventId <= eventsCountOf(itemId)) response.write(`id: ${eventId}\ndata: ${eventText(itemId, eventId, version)}\n\n`)
      if (eventId < eventsCountOf(itemId)) return
      clearInterval(timer)
      response.end()
    }, EVENT_GAP_MS)
    response.once('close', () => clearInterval(timer))
  }

  private _responseHeaders (attemptId: string): Record<string, string> {
    const slowdownPercent = this._responsesCount % SLOWED_INTERVAL === 0 ? SLOWED_PERCENT : USUAL_PERCENT
    return {
      [WireHeader.AttemptId]: attemptId,
      [WireHeader.Receipt]: `stamp.${this.options.name}.${attemptId}`,
      [WireHeader.Load]: `${this._runningCount},0,${SLOTS_COUNT},${slowdownPercent}`
    }
  }

  private _report (response: ServerResponse): void {
    const models = [{ name: MODEL, version: this._version, adapters: [] }]
    sendJson(response, 200, { stage: 'hybrid', models, busy: this._isLoading, seq: this._ordersCount, waiting: 0, running: this._runningCount })
  }

  /** Loads a version once all runs have ended, as engines that cannot swap weights during a run do. */
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

  private _recordArrival ({ headers, socket }: IncomingMessage, isRun: boolean): void {
    const { record, name, nowMs } = this.options
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
