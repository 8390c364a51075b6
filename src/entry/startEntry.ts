/**
 * Starts an entry host in this process with the system clock, TCP and the
 * control hosts named in the settings.
 */
import { NetworkControlClient } from '../controlClient/networkControlClient.js'
import { TcpTransport } from '../transport/tcpTransport.js'
import { systemClock } from '../utils/clock.js'
import type { Logger } from '../utils/logger.js'
import type { Metrics } from '../utils/metrics.js'
import { systemRandom } from '../utils/randomSource.js'
import { Scope } from '../utils/scope.js'
import { parseAddress } from '../utils/settings.js'
import { Supervisor } from '../utils/supervisor.js'
import { EntryProgram } from './entryProgram.js'
import type { EntrySettings } from './entrySettings.js'

export interface StartEntryOptions {
  logger: Logger
  metrics: Metrics
  /** Called on an error after which the process must not continue. */
  onFatal: (error: unknown) => void
  /** Called when a planned stop, whoever requested it, has ended. */
  onStopped: () => void
}

export async function startEntry (settings: EntrySettings, { logger, metrics, onFatal, onStopped }: StartEntryOptions): Promise<EntryProgram> {
  const supervisor = new Supervisor(new Scope('entry'), (_task, error) => onFatal(error))
  const random = systemRandom()
  const transport = new TcpTransport({ localHost: parseAddress(settings.host.peerAddress).host, logger, metrics })
  const incarnation = systemClock.wallMs()
  const { operatorAddress, ...host } = settings.host
  const control = new NetworkControlClient({
    clock: systemClock,
    random,
    metrics,
    transport,
    supervisor: supervisor.child('control'),
    onFatal,
    controlAddresses: settings.control.peerAddresses,
    host: { ...host, incarnation },
    operatorAddress
  })
  const program = new EntryProgram(settings, {
    clock: systemClock,
    random,
    transport,
    metrics,
    logger,
    supervisor,
    control,
    deregister: progress => control.leave(progress),
    incarnation,
    onStopped
  })
  control.start()
  await program.start()
  return program
}
