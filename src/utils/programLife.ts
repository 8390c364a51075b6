/**
 * The life of a program as signals see it: it starts, runs and ends. The start is a
 * state of its own. SIGHUP never ends a program. A stop that is asked for during the
 * start ends the process at once, because nothing has been served and what is on disk
 * is as safe as after a kill; afterwards it begins the planned stop, which no further
 * signal breaks off.
 */
import type { LogFields, Logger } from './logger.js'
import { ProgramEvent } from './programEvents.js'
import { Scope } from './scope.js'

export type StopSignal = 'SIGTERM' | 'SIGINT'

export enum EndReason {
  PlannedStop = 'planned_stop',
  StoppedDuringStart = 'stopped_during_start',
  ChangedSettings = 'changed_settings'
}

const STOPPED_EXIT_CODE = 0

type Phase =
  | { kind: 'starting' }
  | { kind: 'running', stop: () => void }
  | { kind: 'ending', signal: StopSignal | undefined }

export interface ProgramLifeOptions {
  logger: Logger
  /** Ends the process once its log lines are written. */
  exit: (code: number) => void
  onHangup: (isStarting: boolean) => void
}

export class ProgramLife {
  /** Closes when the process is to end during the start. */
  readonly startScope = new Scope('start')
  private readonly _options: ProgramLifeOptions
  private _phase: Phase = { kind: 'starting' }

  /** Listens from now on: the default effect of each of these signals is to end the process without a line. */
  constructor (options: ProgramLifeOptions) {
    this._options = options
    process.on('SIGHUP', () => options.onHangup(this.isStarting))
    process.on('SIGTERM', () => this._onStop('SIGTERM'))
    process.on('SIGINT', () => this._onStop('SIGINT'))
  }

  get isStarting (): boolean {
    return this._phase.kind === 'starting'
  }

  /** The start has ended: from now on a stop is a planned one. Nothing follows if the process ends already. */
  started (stop: () => void): void {
    if (this._phase.kind === 'starting') this._phase = { kind: 'running', stop }
  }

  /** Ends the process after its planned stop. */
  endPlannedStop (): void {
    this._end(EndReason.PlannedStop, this._phase.kind === 'ending' ? this._phase.signal : undefined)
  }

  /**
   * Ends the process at once, to be started again with settings that it cannot apply by itself.
   * For a program that does not serve; without effect once the process ends.
   */
  endForSettings (changedKeys: string[]): void {
    if (this._phase.kind === 'ending') return
    this._phase = { kind: 'ending', signal: undefined }
    this.startScope.close(EndReason.ChangedSettings)
    this._end(EndReason.ChangedSettings, undefined, { changedKeys })
  }

  private _onStop (signal: StopSignal): void {
    const phase = this._phase
    if (phase.kind === 'ending') return
    this._phase = { kind: 'ending', signal }
    if (phase.kind === 'running') phase.stop()
    else this._endStart(signal)
  }

  private _endStart (signal: StopSignal): void {
    this.startScope.close(EndReason.StoppedDuringStart)
    this._end(EndReason.StoppedDuringStart, signal)
  }

  private _end (reason: EndReason, signal: StopSignal | undefined, fields: LogFields = {}): void {
    this._options.logger.event(ProgramEvent.Ended, { reason, signal, exitCode: STOPPED_EXIT_CODE, ranMs: Math.round(performance.now()), ...fields })
    this._options.exit(STOPPED_EXIT_CODE)
  }
}
