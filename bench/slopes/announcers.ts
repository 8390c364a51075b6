/**
 * Endpoints, run in a child process, that only announce themselves, each to three
 * hosts and with a different load every time.
 */
import { Agent, request } from 'undici'
import { callerPaths } from '../../src/protocol/callers.js'
import { EngineRole, type Announcement } from '../../src/protocol/endpoints.js'
import { EndpointKind } from '../../src/protocol/resources.js'
import { seededRandom } from '../../src/utils/randomSource.js'
import { serveUsage } from './childProcess.js'

const ANNOUNCE_TO_COUNT = 3

export interface AnnouncerOptions {
  endpointsCount: number
  intervalMs: number
  dataCentre: string
  /** Caller addresses of entry hosts. */
  hosts: string[]
}

export function announceAll ({ endpointsCount, intervalMs, dataCentre, hosts }: AnnouncerOptions): void {
  const agent = new Agent({ connections: 1 })
  const random = seededRandom(1)
  const incarnation = Date.now()
  for (let endpoint = 0; endpoint < endpointsCount; endpoint++) {
    let sequence = 0
    const targets = Array.from({ length: Math.min(ANNOUNCE_TO_COUNT, hosts.length) }, (_, index) => hosts[(endpoint + index) % hosts.length]!)
    const announce = (): void => {
      const load = { runningCount: random.int(0, 64), waitingCount: random.int(0, 8), kvUsedPercent: random.int(0, 100), tokensPerSecond: random.int(0, 9_000), ageMs: 250 }
      const body = JSON.stringify(announcementOf(endpoint, dataCentre, incarnation, ++sequence, load))
      for (const host of targets) {
        request(`http://${host}${callerPaths.announce}`, { method: 'POST', body, dispatcher: agent }).then(answer => answer.body.dump(), () => {})
      }
    }
    setTimeout(() => {
      announce()
      setInterval(announce, intervalMs)
    }, intervalMs * endpoint / endpointsCount)
  }
  serveUsage(null, {})
}

function announcementOf (endpoint: number, dataCentre: string, incarnation: number, sequence: number, load: Announcement['load']): Announcement {
  return {
    endpointId: `engine-${String(endpoint).padStart(3, '0')}`,
    pool: 'lm',
    endpointKind: EndpointKind.Engine,
    url: `http://127.0.72.1:${20_000 + endpoint}`,
    incarnation,
    sequence,
    dataCentre,
    model: 'practice-lm',
    weightVersion: 1,
    adapters: [],
    role: EngineRole.Mixed,
    load,
    maxConcurrentCount: 64,
    leaving: false
  }
}
