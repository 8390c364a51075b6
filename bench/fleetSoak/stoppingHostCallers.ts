/**
 * Callers that keep their connections to a host which was asked to stop, and go on
 * sending requests until the host is gone.
 */
import { Agent } from 'undici'
import { WireHeader } from '../../platform/wireNames.js'
import type { RandomSource } from '../../src/utils/randomSource.js'
import { pause } from './soakEndpoint.js'
import type { StopCall } from './soakRecord.js'

const CALLERS_COUNT = 12
const MIN_WORK_MS = 20
const MAX_WORK_MS = 3_000
const MAX_PAUSE_MS = 200
/** Time that a caller gives a request; the route allows as much. */
const TIMEOUT_MS = 6_000
const RETRY_PAUSE_MS = 100
/** Idle connections are not closed by the callers. */
const KEEP_ALIVE_MS = 60_000

export interface StoppingHost {
  ip: string
  address: string
  /** Name of the host in requests. */
  hostName: string
  isGone: () => boolean
}

export interface StoppingHostCallersOptions {
  random: RandomSource
  nowMs: () => number
  /** Called with each request once it has ended. */
  onEnd: (call: StopCall) => void
}

export class StoppingHostCallers {
  private readonly _options: StoppingHostCallersOptions
  private _callsCount = 0

  constructor (options: StoppingHostCallersOptions) {
    this._options = options
  }

  /** Sends requests, each caller on a connection of its own, until the host is gone. */
  async useUntilGone (host: StoppingHost): Promise<void> {
    await Promise.all(Array.from({ length: CALLERS_COUNT }, async () => await this._use(host)))
  }

  private async _use (host: StoppingHost): Promise<void> {
    const { random } = this._options
    const agent = new Agent({ connections: 1, pipelining: 1, keepAliveTimeout: KEEP_ALIVE_MS, keepAliveMaxTimeout: KEEP_ALIVE_MS })
    while (!host.isGone()) {
      const status = await this._send(agent, host)
      await pause(status === undefined ? RETRY_PAUSE_MS : random.int(0, MAX_PAUSE_MS))
    }
    await agent.destroy()
  }

  private async _send (agent: Agent, { ip, address, hostName }: StoppingHost): Promise<number | undefined> {
    const { random, nowMs, onEnd } = this._options
    const attemptId = `work-${random.int(MIN_WORK_MS, MAX_WORK_MS)}-${++this._callsCount}`
    const sentAtMs = nowMs()
    const headers = { host: hostName, [WireHeader.AttemptId]: attemptId, [WireHeader.RemainingMs]: String(TIMEOUT_MS) }
    const status = await statusOf(agent, `http://${address}`, `/work/${attemptId}`, headers)
    onEnd({ attemptId, hostIp: ip, sentAtMs, endedAtMs: nowMs(), status })
    return status
  }
}

/** Undefined when no complete response arrived in time. */
async function statusOf (agent: Agent, origin: string, path: string, headers: Record<string, string>): Promise<number | undefined> {
  try {
    const response = await agent.request({ origin, method: 'POST', path, headers, signal: AbortSignal.timeout(TIMEOUT_MS) })
    await response.body.text()
    return response.statusCode
  } catch {
    return undefined
  }
}
