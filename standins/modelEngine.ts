/**
 * A model engine that makes up its text: continuous batching, a prefix cache
 * in limited memory, load reported with a lag, orders, and its own record of
 * which version made which token. It speaks src/protocol/endpoints.ts.
 */
import { z } from 'zod'
import { completionRequestSchema, EngineRole, orderSchema, type EndpointState } from '../src/protocol/endpoints.js'
import { EndpointKind } from '../src/protocol/resources.js'
import { sleepUntil, type Clock } from '../src/utils/clock.js'
import { Scope } from '../src/utils/scope.js'
import { ScopeClosedError } from '../src/utils/errors.js'
import { Announcer, type AnnouncementBody } from './announcer.js'
import { CompletionStream } from './completionStream.js'
import { GenerationBatch } from './generationBatch.js'
import { GenerationRecord } from './generationRecord.js'
import { LoadLag } from './loadLag.js'
import { OrderDesk, SwapFault, type EngineBody } from './orderDesk.js'
import { PrefixCache } from './prefixCache.js'
import { readJson, sendJson, StandInServer, type StandInExchange } from './standInServer.js'
import type { EngineSettings } from './standInSettings.js'
import { untilIdle } from './untilIdle.js'

/** PUT /control/faults */
export const engineFaultsSchema = z.strictObject({
  swapFaults: z.array(z.enum(SwapFault)).optional(),
  /** Rounds take this many times longer. */
  slowFactor: z.number().positive().optional(),
  /** Cuts every connection but keeps announcing. */
  cutConnections: z.boolean().optional()
})
export type EngineFaults = z.infer<typeof engineFaultsSchema>

/** How long a leaving engine stays up at least, so that every host has heard. */
const LEAVE_GRACE_MS = 1_000

export class ModelEngine {
  readonly server = new StandInServer()
  readonly record: GenerationRecord
  readonly orders: OrderDesk
  private readonly _settings: EngineSettings
  private readonly _clock: Clock
  private readonly _scope: Scope
  private readonly _batch: GenerationBatch
  private readonly _cache: PrefixCache
  private readonly _load: LoadLag
  private readonly _announcer: Announcer
  private readonly _incarnation: number
  private readonly _body: EngineBody
  private _announces = false
  private _leaving = false
  private _ownIds = 0

  constructor (settings: EngineSettings, clock: Clock) {
    this._settings = settings
    this._clock = clock
    this._scope = new Scope(settings.endpointId)
    this._incarnation = clock.wallMs()
    this.record = new GenerationRecord(settings.recordFile)
    this._batch = new GenerationBatch(clock, { ...settings, maxRunningCount: settings.maxConcurrentCount })
    this._cache = new PrefixCache(settings.cacheBlocksCount, settings.weightVersion)
    this._load = new LoadLag(clock, settings.loadLagMs, () => this._readLoad())
    this._announcer = new Announcer({
      clock,
      entryHosts: settings.entryHosts,
      intervalMs: settings.announceIntervalMs,
      describe: () => this._describe()
    })
    this._body = {
      weightVersion: settings.weightVersion,
      adapters: [],
      role: EngineRole.Mixed,
      swap: async apply => await this._swap(apply)
    }
    this.orders = new OrderDesk({ clock, body: this._body, checksFencing: settings.checksFencing })
    this._addRoutes()
  }

  get weightVersion (): number {
    return this._body.weightVersion
  }

  get incarnation (): number {
    return this._incarnation
  }

  /** Listens, generates, and announces itself unless told not to. */
  async start (options: { announces: boolean } = { announces: true }): Promise<void> {
    await this.server.listen(this._settings.listenAddress)
    this._spawn(this._batch.run(this._scope))
    this._announces = options.announces
    if (options.announces) this._spawn(this._announcer.run(this._scope))
  }

  /** Says that it leaves, finishes what runs, and stops. */
  async stop (): Promise<void> {
    this._leaving = true
    if (this._announces) await this._announceNow()
    await untilIdle(this._clock, this._scope, LEAVE_GRACE_MS, () => this._batch.runningCount + this._batch.waitingCount)
    this._scope.close('stopped')
    await this.server.close()
  }

  /** Ends as a crash does: every connection is cut, nothing is said. */
  async kill (): Promise<void> {
    this._scope.close('killed')
    await this.server.kill()
  }

  setFaults (faults: EngineFaults): void {
    if (faults.swapFaults) this.orders.swapFaults.push(...faults.swapFaults)
    if (faults.slowFactor !== undefined) this._batch.slowFactor = faults.slowFactor
    if (faults.cutConnections) this.server.cutConnections()
  }

  private _addRoutes (): void {
    this.server.on('POST', '/v1/completions', async exchange => await this._complete(exchange))
    this.server.on('POST', '/v1/orders', async exchange => await this._order(exchange))
    this.server.on('GET', '/v1/state', ({ response }) => sendJson(response, 200, this._state()))
    this.server.on('GET', '/record', ({ response }) => sendJson(response, 200, { generations: this.record.entries, orders: this.orders.executed }))
    this.server.on('PUT', '/control/faults', async ({ request, response }) => {
      this.setFaults(engineFaultsSchema.parse(await readJson(request)))
      sendJson(response, 200, {})
    })
  }

  private async _complete ({ request, response }: StandInExchange): Promise<void> {
    const completion = completionRequestSchema.parse(await readJson(request))
    const requestId = completion.request_id ?? `${this._settings.endpointId}-${++this._ownIds}`
    const entry = this.record.begin(requestId, completion.prompt, completion.resume_tokens?.length ?? 0)
    const identity = {
      engineId: this._settings.endpointId,
      engineIncarnation: this._incarnation,
      weightVersion: () => this._body.weightVersion
    }
    const stream = new CompletionStream(completion, { response, entry, record: this.record, identity, meanTokensCount: this._settings.meanTokensCount })
    stream.prefillChars = this._cache.admit(completion.prompt)
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
    response.flushHeaders()
    response.on('close', () => {
      this._batch.remove(stream)
      if (entry.ended === 'running') entry.ended = 'cancelled'
    })
    this._batch.add(stream)
  }

  private async _order ({ request, response }: StandInExchange): Promise<void> {
    const order = orderSchema.parse(await readJson(request))
    const outcome = await this.orders.take(order)
    if (this._announces) this._spawn(this._announceNow())
    if (outcome.kind === 'replyLost') response.destroy()
    else sendJson(response, 200, outcome.reply)
  }

  private async _announceNow (): Promise<void> {
    await this._announcer.announce()
  }

  private async _swap (apply: () => void): Promise<void> {
    this._batch.pause()
    try {
      await sleepUntil(this._clock, this._scope, this._clock.nowMs() + this._settings.swapMs)
      apply()
      this._cache.useVersion(this._body.weightVersion)
    } finally {
      this._batch.resume()
    }
  }

  private _state (): EndpointState {
    return {
      endpointId: this._settings.endpointId,
      incarnation: this._incarnation,
      weightVersion: this._body.weightVersion,
      adapters: this._body.adapters,
      role: this._body.role,
      highestFencingNumber: this.orders.highestFencingNumber,
      lastOrderId: this.orders.lastOrderId
    }
  }

  private _readLoad (): ReturnType<ConstructorParameters<typeof LoadLag>[2]> {
    const { tokensPerRound, roundMs } = this._settings
    return {
      runningCount: this._batch.runningCount,
      waitingCount: this._batch.waitingCount,
      kvUsedPercent: this._cache.usedPercent,
      tokensPerSecond: 1000 * tokensPerRound * this._batch.runningCount / roundMs
    }
  }

  private _describe (): AnnouncementBody {
    const { endpointId, pool, dataCentre, model, maxConcurrentCount } = this._settings
    return {
      endpointId,
      pool,
      endpointKind: EndpointKind.Engine,
      url: this.server.url,
      incarnation: this._incarnation,
      dataCentre,
      model,
      weightVersion: this._body.weightVersion,
      adapters: this._body.adapters,
      role: this._body.role,
      load: this._load.report(),
      maxConcurrentCount,
      leaving: this._leaving
    }
  }

  private _spawn (task: Promise<void>): void {
    task.catch((error: unknown) => {
      if (!(error instanceof ScopeClosedError)) throw error
    })
  }
}
