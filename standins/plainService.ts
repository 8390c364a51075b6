/**
 * A plain service: answers any path, counts the executions of every request
 * id, and goes wrong on demand in the ways that real ones do.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { z } from 'zod'
import { CallerHeader } from '../src/protocol/callers.js'
import { EngineRole, NOT_EXECUTED_HEADER, REQUEST_ID_HEADER } from '../src/protocol/endpoints.js'
import { EndpointKind } from '../src/protocol/resources.js'
import { sleepUntil, type Clock } from '../src/utils/clock.js'
import { ScopeClosedError } from '../src/utils/errors.js'
import { Scope } from '../src/utils/scope.js'
import { Announcer, type AnnouncementBody } from './announcer.js'
import { LoadLag } from './loadLag.js'
import { readBody, readJson, sendJson, StandInServer, type StandInExchange } from './standInServer.js'
import type { ServiceSettings } from './standInSettings.js'
import { untilIdle } from './untilIdle.js'

/** What goes wrong with one call. */
export enum ServiceFault {
  /** Says, truly, that it did not run the call. */
  RefusesNotExecuted = 'refusesNotExecuted',
  /** Runs it, answers late. */
  Late = 'late',
  /** Runs it once, answers twice on the same connection. */
  Twice = 'twice',
  /** Runs it, cuts the answer in its middle. */
  Half = 'half',
  /** Runs it, answers under another request's id. */
  WrongId = 'wrongId',
  /** Cuts the connection without running it. */
  DiesOnRead = 'diesOnRead',
  /** Runs it, cuts the connection before the answer. */
  DiesOnWrite = 'diesOnWrite',
  /** Runs it, answers with status 500. */
  Fails = 'fails'
}

/** PUT /control/faults: the next calls of a path prefix go wrong. */
export const serviceFaultSchema = z.strictObject({
  fault: z.enum(ServiceFault),
  count: z.int().min(1).default(1),
  pathPrefix: z.string().default('/'),
  delayMs: z.number().min(0).default(1_000)
})
export type ServiceFaultOrder = z.output<typeof serviceFaultSchema>

/** Computes the answer of one call; also where what it changes is changed. */
export type ServiceWork = (path: string, body: Buffer) => unknown

interface Call {
  request: IncomingMessage
  response: ServerResponse
  requestId: string
  path: string
  body: Buffer
}

const LEAVE_GRACE_MS = 1_000
const RETRY_AFTER_S = 1

export class PlainService {
  readonly server = new StandInServer()
  /** Executions by request id. */
  readonly executions = new Map<string, number>()
  /** Executions by path, for callers who give each request a path of its own. */
  readonly executionsByPath = new Map<string, number>()
  private readonly _settings: ServiceSettings
  private readonly _clock: Clock
  private readonly _work: ServiceWork
  private readonly _scope: Scope
  private readonly _load: LoadLag
  private readonly _announcer: Announcer
  private readonly _incarnation: number
  private _faults: ServiceFaultOrder[] = []
  private _runningCount = 0
  private _unnamedCount = 0
  private _announces = false
  private _leaving = false

  constructor (settings: ServiceSettings, clock: Clock, work: ServiceWork = echoWork) {
    this._settings = settings
    this._clock = clock
    this._work = work
    this._scope = new Scope(settings.endpointId)
    this._incarnation = clock.wallMs()
    this._load = new LoadLag(clock, settings.loadLagMs, () => ({
      runningCount: this._runningCount,
      waitingCount: 0,
      kvUsedPercent: 0,
      tokensPerSecond: 0
    }))
    this._announcer = new Announcer({
      clock,
      entryHosts: settings.entryHosts,
      intervalMs: settings.announceIntervalMs,
      describe: () => this._describe()
    })
    this._addRoutes()
  }

  /** Executions of all request ids together. */
  get executionsCount (): number {
    return [...this.executions.values()].reduce((sum, count) => sum + count, 0)
  }

  async start (options: { announces: boolean } = { announces: true }): Promise<void> {
    await this.server.listen(this._settings.listenAddress)
    this._announces = options.announces
    if (options.announces) {
      this._announcer.run(this._scope).catch((error: unknown) => {
        if (!(error instanceof ScopeClosedError)) throw error
      })
    }
  }

  async stop (): Promise<void> {
    this._leaving = true
    if (this._announces) await this._announcer.announce()
    await untilIdle(this._clock, this._scope, LEAVE_GRACE_MS, () => this._runningCount)
    this._scope.close('stopped')
    await this.server.close()
  }

  async kill (): Promise<void> {
    this._scope.close('killed')
    await this.server.kill()
  }

  addFault (fault: ServiceFaultOrder): void {
    this._faults.push({ ...fault })
  }

  private _addRoutes (): void {
    this.server.on('GET', '/record', ({ response }) => sendJson(response, 200, {
      runningCount: this._runningCount,
      executions: Object.fromEntries(this.executions),
      executionsByPath: Object.fromEntries(this.executionsByPath)
    }))
    this.server.on('PUT', '/control/faults', async ({ request, response }) => {
      this.addFault(serviceFaultSchema.parse(await readJson(request)))
      sendJson(response, 200, {})
    })
    this.server.on('*', '/', async exchange => await this._serve(exchange))
  }

  private async _serve ({ request, response, path }: StandInExchange): Promise<void> {
    const body = await readBody(request)
    const requestId = this._requestId(request)
    const call = { request, response, requestId, path, body }
    const fault = this._takeFault(path)
    if (fault?.fault === ServiceFault.DiesOnRead) return cut(call)
    if (fault?.fault === ServiceFault.RefusesNotExecuted || this._isFull()) return refuse(call)
    this._runningCount++
    try {
      await this._wait(this._settings.serviceMs)
      const answer = this._execute(call)
      await this._answer(call, answer, fault)
    } finally {
      this._runningCount--
    }
  }

  private _isFull (): boolean {
    return this._runningCount >= this._settings.maxConcurrentCount
  }

  private _execute ({ requestId, path, body }: Call): unknown {
    const count = (this.executions.get(requestId) ?? 0) + 1
    this.executions.set(requestId, count)
    this.executionsByPath.set(path, (this.executionsByPath.get(path) ?? 0) + 1)
    return this._work(path, body)
  }

  private async _answer (call: Call, answer: unknown, order: ServiceFaultOrder | undefined): Promise<void> {
    const headers = { [REQUEST_ID_HEADER]: call.requestId }
    switch (order?.fault) {
      case ServiceFault.Late:
        await this._wait(order.delayMs)
        return sendJson(call.response, 200, answer, headers)
      case ServiceFault.Twice:
        return answerTwice(call, answer)
      case ServiceFault.Half:
        return answerHalf(call, answer)
      case ServiceFault.WrongId:
        return sendJson(call.response, 200, answer, { [REQUEST_ID_HEADER]: `other-${call.requestId}` })
      case ServiceFault.DiesOnWrite:
        return cut(call)
      case ServiceFault.Fails:
        return sendJson(call.response, 500, { message: 'failed on demand' }, headers)
      default:
        return sendJson(call.response, 200, answer, headers)
    }
  }

  private _requestId (request: IncomingMessage): string {
    const named = request.headers[REQUEST_ID_HEADER] ?? request.headers[CallerHeader.IdempotencyKey]
    return typeof named === 'string' ? named : `unnamed-${++this._unnamedCount}`
  }

  private _takeFault (path: string): ServiceFaultOrder | undefined {
    const order = this._faults.find(({ pathPrefix }) => path.startsWith(pathPrefix))
    if (!order) return undefined
    order.count--
    if (order.count === 0) this._faults = this._faults.filter(other => other !== order)
    return order
  }

  private async _wait (durationMs: number): Promise<void> {
    if (durationMs > 0) await sleepUntil(this._clock, this._scope, this._clock.nowMs() + durationMs)
  }

  private _describe (): AnnouncementBody {
    const { endpointId, pool, dataCentre, maxConcurrentCount } = this._settings
    return {
      endpointId,
      pool,
      endpointKind: EndpointKind.Service,
      url: this.server.url,
      incarnation: this._incarnation,
      dataCentre,
      adapters: [],
      role: EngineRole.Mixed,
      load: this._load.report(),
      maxConcurrentCount,
      leaving: this._leaving
    }
  }
}

function echoWork (path: string, body: Buffer): unknown {
  return { path, body: body.toString('utf8') }
}

function refuse ({ response }: Call): void {
  sendJson(response, 503, { message: 'not executed' }, { [NOT_EXECUTED_HEADER]: 'true', 'retry-after': String(RETRY_AFTER_S) })
}

function cut ({ request }: Call): void {
  request.socket.destroy()
}

function answerTwice ({ request, response, requestId }: Call, answer: unknown): void {
  const body = JSON.stringify(answer)
  const whole = `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n${REQUEST_ID_HEADER}: ${requestId}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
  response.detachSocket(request.socket)
  request.socket.write(whole + whole)
}

function answerHalf ({ request, response, requestId }: Call, answer: unknown): void {
  const body = JSON.stringify(answer)
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), [REQUEST_ID_HEADER]: requestId })
  response.write(body.slice(0, Math.floor(body.length / 2)), () => request.socket.destroy())
}
