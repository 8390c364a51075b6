/**
 * Listening on an address as a state of its own: an address that is not free or not there
 * yet is waited for, not a reason to end. A predecessor may still hold the port, another
 * program may have taken it for a moment, or the host gets its address later.
 */
import type { Server } from 'node:net'
import { sleepUntil, type Clock } from './clock.js'
import { ListenEvent } from './listenEvents.js'
import type { LogFields, Logger } from './logger.js'
import { LogThrottle } from './logThrottle.js'
import { MetricName } from './metricNames.js'
import type { Metrics } from './metrics.js'
import type { Scope } from './scope.js'
import { parseAddress } from './settings.js'

/** Short beside the time after which callers turn elsewhere, and cheap: an attempt is two system calls. */
const LISTEN_RETRY_MS = 100

export interface ListenOptions {
  server: Server
  /** Its name in logs. */
  name: string
  address: string
  clock: Clock
  logger: Logger
  metrics: Metrics
  /** Ends the wait. */
  scope: Scope
}

/**
 * Resolves once the server listens. What is wrong for good, such as a port that cannot
 * be one, is thrown. From the call on, no error of the server ends the process.
 * @throws ScopeClosedError when the scope closes first.
 */
export async function listenWhenFree (options: ListenOptions): Promise<void> {
  const { server, name, address, clock, logger, scope } = options
  recordErrors(options)
  const throttle = new LogThrottle(clock)
  const startedAtMs = clock.nowMs()
  const fields = (attemptsCount: number): LogFields => ({ listener: name, address, attemptsCount, waitedMs: Math.round(clock.nowMs() - startedAtMs) })
  const release = scope.onClose(() => server.close())
  try {
    for (let attemptsCount = 1; ; attemptsCount++) {
      const failure = await scope.race(listenOnce(server, address, scope))
      if (!failure && attemptsCount > 1) logger.event(ListenEvent.Listening, fields(attemptsCount))
      if (!failure) return
      const { code, message } = failure
      if (throttle.shouldLog(code ?? message)) logger.event(ListenEvent.Waiting, { ...fields(attemptsCount), code, error: message })
      await sleepUntil(clock, scope, clock.nowMs() + LISTEN_RETRY_MS)
    }
  } finally {
    release()
  }
}

/** A server without a listener of its errors ends the process with the first one, such as a connection that no descriptor is left for. */
function recordErrors ({ server, name, address, clock, logger, metrics }: ListenOptions): void {
  const throttle = new LogThrottle(clock)
  server.on('error', ({ code = 'unknown', message }: NodeJS.ErrnoException) => {
    metrics.count(MetricName.ListenersErrors, { listener: name, code })
    if (server.listening && throttle.shouldLog(code)) logger.event(ListenEvent.AcceptFailed, { listener: name, address, code, error: message })
  })
}

/** Undefined once the server listens. */
async function listenOnce (server: Server, address: string, scope: Scope): Promise<NodeJS.ErrnoException | undefined> {
  const { host, port } = parseAddress(address)
  return await new Promise(resolve => {
    const settle = (failure: NodeJS.ErrnoException | undefined): void => {
      server.off('error', settle)
      server.off('listening', onListening)
      resolve(failure)
    }
    const onListening = (): void => {
      // The scope closed during the attempt, when there was nothing to close yet.
      if (scope.isClosed) server.close()
      settle(undefined)
    }
    server.once('error', settle)
    server.once('listening', onListening)
    server.listen(port, host)
  })
}
