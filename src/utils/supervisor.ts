/**
 * The supervisor starts each task in its own scope and decides what to do when a
 * task ends. A task that returns, or whose scope closes, has ended normally. A task
 * that throws has hit a violated invariant: the process stops, because its state
 * can no longer be trusted.
 */
import { ScopeClosedError } from './errors.js'
import type { Scope } from './scope.js'

export type Task = (scope: Scope) => Promise<void>

export type FatalHandler = (taskName: string, error: unknown) => void

export class Supervisor {
  readonly scope: Scope
  private readonly _onFatal: FatalHandler
  private readonly _running = new Set<Promise<void>>()

  constructor (scope: Scope, onFatal: FatalHandler) {
    this.scope = scope
    this._onFatal = onFatal
  }

  /** Starts a task in a child scope, which closes when the task ends. */
  spawn (name: string, task: Task): Scope {
    const scope = this.scope.child(name)
    const running = this._run(scope, task)
    this._running.add(running)
    scope.onClose(() => this._removeWhenDone(running))
    return scope
  }

  /** Reports a violated invariant that was detected outside a task. */
  fatal (taskName: string, error: unknown): void {
    this._onFatal(taskName, error)
  }

  /** Creates a supervisor whose tasks end when this one's scope closes. */
  child (name: string): Supervisor {
    return new Supervisor(this.scope.child(name), this._onFatal)
  }

  /** Closes the scope and waits until every task has ended. */
  async stop (reason: string): Promise<void> {
    this.scope.close(reason)
    await Promise.all(this._running)
  }

  private _removeWhenDone (running: Promise<void>): void {
    running.finally(() => this._running.delete(running)).catch(() => {})
  }

  private async _run (scope: Scope, task: Task): Promise<void> {
    try {
      await task(scope)
    } catch (error) {
      if (!(error instanceof ScopeClosedError)) this._onFatal(scope.name, error)
    } finally {
      scope.close('task ended')
    }
  }
}
