/**
 * Keeps an entry host registered with control while its process runs.
 */
import type { ControlClient } from '../controlClient/controlClient.js'
import { HostCommandKind, type EntryHost } from '../protocol/hostCommands.js'
import { sleepUntil, type Clock } from '../utils/clock.js'
import { InvariantError } from '../utils/errors.js'
import type { Logger } from '../utils/logger.js'
import { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'
import { EntryEvent } from './entryEvents.js'

const CHECK_INTERVAL_MS = 500
const REGISTER_TIMEOUT_MS = 3_000
const REMOVE_TIMEOUT_MS = 2_000

export class HostRegistration {
  private readonly _host: EntryHost
  private readonly _control: ControlClient
  private readonly _clock: Clock
  private readonly _logger: Logger

  constructor (host: EntryHost, control: ControlClient, clock: Clock, logger: Logger) {
    this._host = host
    this._control = control
    this._clock = clock
    this._logger = logger
  }

  /** Registers, and again whenever the host is not known as this process. */
  async run (scope: Scope): Promise<void> {
    for (;;) {
      if (!this._isRegistered()) await this._register(scope)
      await sleepUntil(this._clock, scope, this._clock.nowMs() + CHECK_INTERVAL_MS)
    }
  }

  async remove (scope: Scope): Promise<void> {
    const { hostId, incarnation } = this._host
    const progress = new Progress(this._clock, scope, this._clock.nowMs() + REMOVE_TIMEOUT_MS)
    await this._control.submit({ kind: HostCommandKind.Remove, hostId, incarnation }, progress)
  }

  private _isRegistered (): boolean {
    const { hostId, incarnation } = this._host
    return this._control.configuration.entryHosts().some(host => host.hostId === hostId && host.incarnation === incarnation)
  }

  private async _register (scope: Scope): Promise<void> {
    const progress = new Progress(this._clock, scope, this._clock.nowMs() + REGISTER_TIMEOUT_MS)
    const outcome = await this._control.submit({ kind: HostCommandKind.Register, host: this._host }, progress)
    if (outcome.kind !== 'committed' || outcome.result.kind !== 'olderIncarnation') return
    this._logger.event(EntryEvent.RegistrationRefused)
    throw new InvariantError(`a newer process is registered as host ${this._host.hostId}`)
  }
}
