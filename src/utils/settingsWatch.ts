/**
 * Watches a settings file that others write whenever they like, and in place: at any
 * moment it may be absent, cut short or wrong, when a process starts as well as later.
 * None of that is a reason to end. A start waits for settings that can be used, and
 * a running process keeps those that it has.
 */
import type { Clock } from './clock.js'
import { SettingsError } from './errors.js'
import { LogThrottle } from './logThrottle.js'
import type { Scope } from './scope.js'
import { readText } from './settings.js'
import { Signal } from './signal.js'

/** The file may change without a signal. */
const LOOK_INTERVAL_MS = 2_000
/** A file that is being written is whole after a moment. A look takes a tenth of a millisecond. */
const UNUSABLE_LOOK_INTERVAL_MS = 50

type Look<Settings> =
  | { kind: 'changed', settings: Settings }
  | { kind: 'unchanged' }
  | { kind: 'unusable', problem: string }

export interface SettingsWatchOptions<Settings> {
  path: string
  clock: Clock
  /** @throws SettingsError if the text cannot be used. */
  check: (text: string) => Settings
  /** Called once for each problem, and now and then while it lasts. */
  onProblem: (problem: string, lastsMs: number) => void
  /** Called when the file can be used again after problems, changed or not. */
  onUsable: (lastedMs: number) => void
}

interface Trouble {
  sinceMs: number
  throttle: LogThrottle
  /** The text that cannot be used; undefined if there is none. */
  text: string | undefined
  problem: string
}

export class SettingsWatch<Settings> {
  private readonly _options: SettingsWatchOptions<Settings>
  private readonly _lookAsked = new Signal()
  /** The text of the settings that were returned last. */
  private _text: string | undefined
  /** Defined while the file cannot be used. */
  private _trouble: Trouble | undefined

  constructor (options: SettingsWatchOptions<Settings>) {
    this._options = options
  }

  /**
   * Waits until the file holds settings that can be used and differ from those that
   * were returned last.
   * @throws ScopeClosedError when the scope closes first.
   */
  async next (scope: Scope): Promise<Settings> {
    const { clock } = this._options
    for (;;) {
      scope.throwIfClosed()
      const look = this._look()
      if (look.kind === 'changed') return look.settings
      const intervalMs = look.kind === 'unusable' ? UNUSABLE_LOOK_INTERVAL_MS : LOOK_INTERVAL_MS
      await this._lookAsked.wait(scope, { clock, deadlineMs: clock.nowMs() + intervalMs })
    }
  }

  /** Why the file cannot be used; undefined if it can. */
  get problem (): string | undefined {
    return this._trouble?.problem
  }

  /** Whoever waits looks at the file at once. */
  lookNow (): void {
    this._lookAsked.notify()
  }

  private _look (): Look<Settings> {
    let text: string | undefined
    try {
      text = readText(this._options.path)
      if (text === this._text) return this._usable({ kind: 'unchanged' })
      if (this._trouble !== undefined && text === this._trouble.text) return this._unusable(text, this._trouble.problem)
      const settings = this._options.check(text)
      this._text = text
      return this._usable({ kind: 'changed', settings })
    } catch (error) {
      if (!(error instanceof SettingsError)) throw error
      return this._unusable(text, error.message)
    }
  }

  private _usable (look: Look<Settings>): Look<Settings> {
    if (this._trouble) this._options.onUsable(this._options.clock.nowMs() - this._trouble.sinceMs)
    this._trouble = undefined
    return look
  }

  private _unusable (text: string | undefined, problem: string): Look<Settings> {
    const { clock, onProblem } = this._options
    const { sinceMs, throttle } = this._trouble ?? { sinceMs: clock.nowMs(), throttle: new LogThrottle(clock) }
    this._trouble = { sinceMs, throttle, text, problem }
    if (throttle.shouldLog(problem)) onProblem(problem, clock.nowMs() - sinceMs)
    return { kind: 'unusable', problem }
  }
}
