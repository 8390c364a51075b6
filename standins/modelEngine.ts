/**
 * Stand-in for a model engine that generates synthetic text: continuous
 * batching, a bounded prefix cache, load reports with a lag, orders, and a
 * record of the weight version that generated each token. It implements the
 * protocol of src/protocol/endpoints.ts.
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
import { OrderExecutor, SwapFault, type EngineState } from './orderExecutor.js'
import { PrefixCache } from './prefixCache.js'
import { readJson, sendJson, StandInServer, type StandInExchange } from './standInServer.js'
import type { EngineSettings } from './standInSettings.js'
import { waitUntilIdle } from './waitUntilIdle.js'

/** Body of PUT /control/faults. */
export const engineFaultsSchema = z.strictObject({
  swapFaults: z.array(z.enum(SwapFault)).optional(),
  /** Multiplier of the duration of batch rounds. */
  slowFactor: z.number().positive().optional(),
  /** Closes every connection once; the engine keeps announcing itself. */
  cutConnections: z.boolean().optional()
})
export type EngineFaults = z.infer<typeof engineFaultsSchema>

/** Minimum time that a leaving engine stays up, so that every host receives the update. */
const DRAIN_GRACE_MS = 1_000

export class ModelEngine {
  readonly server = new StandInServer()
  readonly record: GenerationRecord
  readonly orders: OrderExecutor
  private readonly _settings: EngineSettings
  private readonly _clock: Clock
  private readonly _scope: Scope
  private readonly _batch: GenerationBatch
  private readonly _cache: PrefixCache
  private readonly _load: LoadLag
  private readonly _announcer: Announcer
  private readonly _incarnation: number
  private readonly _state: EngineState
  private _announces = false
  private _isLeaving = false
  private _assignedIdsCount = 0

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
    this._state = {
      weightVersion: settings.weightVersion,
      adapters: [],
      role: EngineRole.Mixed,
      swap: async apply => await this._swapWeights(apply)
    }
    this.orders = new OrderExecutor({ clock, body: this._state, checksFencing: settings.checksFencing })
    this._addRoutes()
  }

  get weightVersion (): number {
    return this._state.weightVersion
  }

  get incarnation (): number {
    return this._incarnation
  }

  /** Starts listening and generating, and announces the engine unless `announces` is false. */
  async start (options: { announces: boolean } = { announces: true }): Promise<void> {
    await this.server.listen(this._settings.listenAddress)
    this._spawn(this._batch.run(this._scope))
    this._announces = options.announces
    if (options.announces) this._spawn(this._announcer.run(this._scope))
  }

  /** Announces that the engine is leaving, completes running requests, and stops. */
  async stop (): Promise<void> {
    this._isLeaving = true
    if (this._announces) await this._announceNow()
    await waitUntilIdle(this._clock, this._scope, DRAIN_GRACE_MS, () => this._batch.runningCount + this._batch.waitingCount)
    this._scope.close('stopped')
    await this.server.close()
  }

  /** Stops as a crash does: closes every connection without an announcement. */
  async kill (): Promise<void> {
    this._scope.close('killed')
    await this.server.kill()
  }

  setFaults (faults: EngineFaults): void {
    if (faults.swapFaults) this.orders.swapFaults.push(...faults.swapFaults)
    if (faults.slowFactor !== undefined) this._batch.slowFactor = faults.slowFactor
    if (faults.cutConnections) this.server.closeConnections()
  }

  private _addRoutes (): void {
    this.server.on('POST', '/v1/completions', async exchange => await this._handleCompletion(exchange))
    this.server.on('POST', '/v1/orders', async exchange => await this._handleOrder(exchange))
    this.server.on('GET', '/v1/state', ({ response }) => sendJson(response, 200, this._describeState()))
    this.server.on('GET', '/record', ({ response }) => sendJson(response, 200, { generations: this.record.entries, orders: this.orders.executed }))
    this.server.on('PUT', '/control/faults', async ({ request, response }) => {
      this.setFaults(engineFaultsSchema.parse(await readJson(request)))
      sendJson(response, 200, {})
    })
  }

  private async _handleCompletion ({ request, response }: StandInExchange): Promise<void> {
    const completion = completionRequestSchema.parse(await readJson(request))
    const requestId = completion.request_id ?? `${this._settings.endpointId}-${++this._assignedIdsCount}`
    const entry = this.record.begin(requestId, completion.prompt, completion.resume_tokens?.length ?? 0)
    const identity = {
      engineId: this._settings.endpointId,
      engineIncarnation: this._incarnation,
      weightVersion: () => this._state.weightVersion
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

  private async _handleOrder ({ request, response }: StandInExchange): Promise<void> {
    const order = orderSchema.parse(await readJson(request))
    const outcome = await this.orders.submit(order)
    if (this._announces) this._spawn(this._announceNow())
    if (outcome.kind === 'replyLost') response.destroy()
    else sendJson(response, 200, outcome.reply)
  }

  private async _announceNow (): Promise<void> {
    await this._announcer.announce()
  }

  private async _swapWeights (apply: () => void): Promise<void> {
    this._batch.pause()
    try {
      await sleepUntil(this._clock, this._scope, this._clock.nowMs() + this._settings.swapMs)
      apply()
      this._cache.useVersion(this._state.weightVersion)
    } finally {
      this._batch.resume()
    }
  }

  private _describeState (): EndpointState {
    return {
      endpointId: this._settings.endpointId,
      incarnation: this._incarnation,
      weightVersion: this._state.weightVersion,
      adapters: this._state.adapters,
      role: this._state.role,
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
      weightVersion: this._state.weightVersion,
      adapters: this._state.adapters,
      role: this._state.role,
      load: this._load.report(),
      maxConcurrentCount,
      leaving: this._isLeaving
    }
  }

  private _spawn (task: Promise<void>): void {
    task.catch((error: unknown) => {
      if (!(error instanceof ScopeClosedError)) throw error
    })
  }
}
