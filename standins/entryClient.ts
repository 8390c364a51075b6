/**
 * Client of the entry hosts for callers and trainers: queries any entry host
 * for advice, caches the advised hosts while they are valid, and sends requests
 * to them directly. It never retries a request; retries are up to the caller.
 */
import { Agent, request, type Dispatcher } from 'undici'
import { adviceSchema, callerPaths } from '../src/protocol/callers.js'
import { refusalSchema, type Refusal } from '../src/protocol/refusals.js'
import type { Clock } from '../src/utils/clock.js'

export interface EntryClientOptions {
  clock: Clock
  /** `ip:port` of the entry hosts that are queried first. */
  entryHosts: string[]
  dataCentre: string
  callerName: string
}

export interface EntryRequest {
  method: 'GET' | 'POST'
  path: string
  headers?: Record<string, string>
  body?: string
  timeoutMs?: number
}

export type EntryAnswer =
  | { kind: 'answered', host: string, status: number, headers: Dispatcher.ResponseData['headers'], body: Dispatcher.ResponseData['body'] }
  | { kind: 'refused', host: string, status: number, refusal: Refusal }
  /** It is unknown whether the request was executed. */
  | { kind: 'lost', host: string, reason: string }

const ADVICE_TIMEOUT_MS = 2_000
const DEFAULT_TIMEOUT_MS = 60_000
const FIRST_ERROR_STATUS = 400

export class EntryClient {
  private readonly _options: EntryClientOptions
  private readonly _agent = new Agent({ pipelining: 0 })
  private _hosts: string[] = []
  private _validUntilMs = 0
  private _hostIndex = 0

  constructor (options: EntryClientOptions) {
    this._options = options
  }

  /** Hosts to use now, in order of preference; the configured entry hosts if none gives advice. */
  async hosts (): Promise<string[]> {
    if (this._options.clock.nowMs() < this._validUntilMs) return this._hosts
    const candidates = [...new Set([...this._hosts, ...this._options.entryHosts])]
    for (const host of candidates) {
      const advice = await this._queryAdvice(host)
      if (!advice || advice.hosts.length === 0) continue
      this._hosts = advice.hosts
      this._validUntilMs = this._options.clock.nowMs() + advice.validForMs
      return this._hosts
    }
    return this._options.entryHosts
  }

  /** Expires the cached advice, for instance after a lost connection, and moves on to the next host. */
  invalidateAdvice (): void {
    this._validUntilMs = 0
    this._hostIndex++
  }

  /** Sends a request once, to one of the advised hosts. */
  async send (entryRequest: EntryRequest): Promise<EntryAnswer> {
    const hosts = await this.hosts()
    const host = hosts[this._hostIndex % hosts.length] ?? ''
    return await this.sendTo(host, entryRequest)
  }

  async sendTo (host: string, { method, path, headers, body, timeoutMs }: EntryRequest): Promise<EntryAnswer> {
    try {
      const answer = await request(`http://${host}${path}`, {
        method,
        headers: { 'content-type': 'application/json', 'x-caller': this._options.callerName, ...headers },
        body,
        dispatcher: this._agent,
        signal: AbortSignal.timeout(timeoutMs ?? DEFAULT_TIMEOUT_MS)
      })
      const { statusCode: status } = answer
      if (status < FIRST_ERROR_STATUS) return { kind: 'answered', host, status, headers: answer.headers, body: answer.body }
      return await readRefusal(host, answer)
    } catch (error) {
      return { kind: 'lost', host, reason: String(error) }
    }
  }

  async close (): Promise<void> {
    await this._agent.close()
  }

  private async _queryAdvice (host: string): Promise<{ hosts: string[], validForMs: number } | undefined> {
    const { dataCentre, callerName } = this._options
    const query = new URLSearchParams({ dataCentre, caller: callerName })
    const answer = await this.sendTo(host, { method: 'GET', path: `${callerPaths.advice}?${query}`, timeoutMs: ADVICE_TIMEOUT_MS })
    if (answer.kind !== 'answered') return undefined
    const parsed = adviceSchema.safeParse(await answer.body.json().catch(() => undefined))
    return parsed.success ? parsed.data : undefined
  }
}

async function readRefusal (host: string, answer: Dispatcher.ResponseData): Promise<EntryAnswer> {
  const text = await answer.body.text()
  const parsed = refusalSchema.safeParse(parseJson(text))
  if (parsed.success) return { kind: 'refused', host, status: answer.statusCode, refusal: parsed.data }
  return { kind: 'lost', host, reason: `status ${answer.statusCode}, body is not a refusal: ${text.slice(0, 200)}` }
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
