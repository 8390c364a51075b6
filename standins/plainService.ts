/**
 * Stand-in for a plain service: answers any path, counts the executions of
 * every request id, and injects the faults of real services on demand.
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
import { waitUntilIdle } from './waitUntilIdle.js'

/** A fault that is injected into one call. */
export enum ServiceFault {
  /** Refuses the call as not executed, and does not execute it. */
  RefusesNotExecuted = 'refusesNotExecuted',
  /** Executes the call and answers late. */
  Late = 'late',
  /** Executes the call once and answers twice on the same connection. */
  AnswersTwice = 'twice',
  /** Executes the call and disconnects halfway through the answer. */
  TruncatesAnswer = 'half',
  /** Executes the call and answers with the id of another request. */
  WrongId = 'wrongId',
  /** Disconnects without executing the call. */
  DisconnectsBeforeExecution = 'diesOnRead',
  /** Executes the call and disconnects before the answer. */
  DisconnectsBeforeAnswer = 'diesOnWrite',
  /** Executes the call and answers with status 500. */
  Fails = 'fails'
}

/** Body of PUT /control/faults: injects a fault into the next `count` calls below a path prefix. */
export const serviceFaultSchema = z.strictObject({
  fault: z.enum(ServiceFault),
  count: z.int().min(1).default(1),
  pathPrefix: z.string().default('/'),
  delayMs: z.number().min(0).default(1_000)
})
export type InjectedServiceFault = z.output<typeof serviceFaultSchema>

/** Computes the answer to one call and applies its side effects. */
export type CallHandler = (path: string, body: Buffer) => unknown

interface Call {
  request: IncomingMessage
  response: ServerResponse
  requestId: string
  path: string
  body: Buffer
}

const DRAIN_GRACE_MS = 1_000
const RETRY_AFTER_S = 1

export class PlainService {
  readonly server = new StandInServer()
  /** Executions by request id. */
  readonly executions = new Map<string, number>()
  /** Executions by path, for callers that give each request its own path. */
  readonly executionsByPath = new Map<string, number>()
  private readonly _settings: ServiceSettings
  private readonly _clock: Clock
  private readonly _handleCall: CallHandler
  private readonly _scope: Scope
  private readonly _load: LoadLag
  private readonly _announcer: Announcer
  private readonly _incarnation: number
  private _faults: InjectedServiceFault[] = []
  private _runningCount = 0
  private _callsWithoutIdCount = 0
  private _announces = false
  private _isLeaving = false

  constructor (settings: ServiceSettings, clock: Clock, handleCall: CallHandler = echoCall) {
    this._settings = settings
    this._clock = clock
    this._handleCall = handleCall
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

  /** Total number of executions. */
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
    this._isLeaving = true
    if (this._announces) await this._announcer.announce()
    await waitUntilIdle(this._clock, this._scope, DRAIN_GRACE_MS, () => this._runningCount)
    this._scope.close('stopped')
    await this.server.close()
  }

  async kill (): Promise<void> {
    this._scope.close('killed')
    await this.server.kill()
  }

  addFault (fault: InjectedServiceFault): void {
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
    const fault = this._nextFault(path)
    if (fault?.fault === ServiceFault.DisconnectsBeforeExecution) return disconnect(call)
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
    return this._handleCall(path, body)
  }

  private async _answer (call: Call, answer: unknown, fault: InjectedServiceFault | undefined): Promise<void> {
    const headers = { [REQUEST_ID_HEADER]: call.requestId }
    switch (fault?.fault) {
      case ServiceFault.Late:
        await this._wait(fault.delayMs)
        return sendJson(call.response, 200, answer, headers)
      case ServiceFault.AnswersTwice:
        return answerTwice(call, answer)
      case ServiceFault.TruncatesAnswer:
        return answerTruncated(call, answer)
      case ServiceFault.WrongId:
        return sendJson(call.response, 200, answer, { [REQUEST_ID_HEADER]: `other-${call.requestId}` })
      case ServiceFault.DisconnectsBeforeAnswer:
        return disconnect(call)
      case ServiceFault.Fails:
        return sendJson(call.response, 500, { message: 'injected failure' }, headers)
      default:
        return sendJson(call.response, 200, answer, headers)
    }
  }

  private _requestId (request: IncomingMessage): string {
    const givenId = request.headers[REQUEST_ID_HEADER] ?? request.headers[CallerHeader.IdempotencyKey]
    return typeof givenId === 'string' ? givenId : `unnamed-${++this._callsWithoutIdCount}`
  }

  private _nextFault (path: string): InjectedServiceFault | undefined {
    const fault = this._faults.find(({ pathPrefix }) => path.startsWith(pathPrefix))
    if (!fault) return undefined
    fault.count--
    if (fault.count === 0) this._faults = this._faults.filter(other => other !== fault)
    return fault
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
      leaving: this._isLeaving
    }
  }
}

function echoCall (path: string, body: Buffer): unknown {
  return { path, body: body.toString('utf8') }
}

function refuse ({ response }: Call): void {
  sendJson(response, 503, { message: 'not executed' }, { [NOT_EXECUTED_HEADER]: 'true', 'retry-after': String(RETRY_AFTER_S) })
}

function disconnect ({ request }: Call): void {
  request.socket.destroy()
}

function answerTwice ({ request, response, requestId }: Call, answer: unknown): void {
  const body = JSON.stringify(answer)
  const answerText = `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n${REQUEST_ID_HEADER}: ${requestId}\r\ncontent-length: ${Buffer.byteLength(body)}\r\n\r\n${body}`
  response.detachSocket(request.socket)
  request.socket.write(answerText + answerText)
}

function answerTruncated ({ request, response, requestId }: Call, answer: unknown): void {
  const body = JSON.stringify(answer)
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), [REQUEST_ID_HEADER]: requestId })
  response.write(body.slice(0, Math.floor(body.length / 2)), () => request.socket.destroy())
}
