/**
 * Stand-in for a weight store: tracks which versions exist, and serves
 * synthetic bytes under a rate limit shared by all transfers.
 */
import type { ServerResponse } from 'node:http'
import { sleepUntil, type Clock } from '../src/utils/clock.js'
import { Scope } from '../src/utils/scope.js'
import { readBody, sendJson, StandInServer, type StandInExchange } from './standInServer.js'
import type { WeightStoreSettings } from './standInSettings.js'

const CHUNK_BYTES = 64 * 1024

export interface Transfer {
  path: string
  startedAtMs: number
  endedAtMs: number
  bytes: number
}

export class WeightStore {
  readonly server = new StandInServer()
  readonly transfers: Transfer[] = []
  private readonly _settings: WeightStoreSettings
  private readonly _clock: Clock
  private readonly _scope = new Scope('weightStore')
  private readonly _paths = new Set<string>()
  private readonly _chunk = Buffer.alloc(CHUNK_BYTES, 7)
  private _nextSendAtMs: number

  constructor (settings: WeightStoreSettings, clock: Clock) {
    this._settings = settings
    this._clock = clock
    this._nextSendAtMs = clock.nowMs()
    this.server.on('GET', '/record', ({ response }) => sendJson(response, 200, { paths: [...this._paths], transfers: this.transfers }))
    this.server.on('PUT', '/', async exchange => await this._put(exchange))
    this.server.on('GET', '/', async exchange => await this._get(exchange))
  }

  async start (): Promise<void> {
    await this.server.listen(this._settings.listenAddress)
  }

  async stop (): Promise<void> {
    this._scope.close('stopped')
    await this.server.kill()
  }

  /** Registers a path without an upload. */
  add (path: string): void {
    this._paths.add(path)
  }

  private async _put ({ request, response, path }: StandInExchange): Promise<void> {
    await readBody(request)
    this._paths.add(path)
    sendJson(response, 201, {})
  }

  private async _get ({ response, path }: StandInExchange): Promise<void> {
    if (!this._paths.has(path)) return sendJson(response, 404, { message: `no weights at ${path}` })
    const { weightBytes } = this._settings
    const transfer: Transfer = { path, startedAtMs: this._clock.nowMs(), endedAtMs: 0, bytes: 0 }
    this.transfers.push(transfer)
    response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': weightBytes })
    await this._send(response, transfer)
    transfer.endedAtMs = this._clock.nowMs()
  }

  private async _send (response: ServerResponse, transfer: Transfer): Promise<void> {
    const { weightBytes } = this._settings
    while (transfer.bytes < weightBytes && !response.destroyed) {
      const sendBytes = Math.min(CHUNK_BYTES, weightBytes - transfer.bytes)
      await this._waitForTurn(sendBytes)
      response.write(this._chunk.subarray(0, sendBytes))
      transfer.bytes += sendBytes
    }
    response.end()
  }

  /** Delays a chunk so that all transfers together stay within the rate limit. */
  private async _waitForTurn (bytes: number): Promise<void> {
    const durationMs = 1000 * bytes / this._settings.bytesPerSecond
    this._nextSendAtMs = Math.max(this._nextSendAtMs, this._clock.nowMs()) + durationMs
    await sleepUntil(this._clock, this._scope, this._nextSendAtMs)
  }
}
