/**
 * The supervisor: starts tasks in scopes of their own and decides what their
 * end means. A task that returns, or whose scope closes, has ended well. A
 * task that throws has met a broken invariant: the process stops, because
 * what it holds can no longer be trusted.
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
    scope.onClose(() => this._forgetWhenDone(running))
    return scope
  }

  /** Reports a broken invariant that was met outside a task. */
  fatal (taskName: string, error: unknown): void {
    this._onFatal(taskName, error)
  }

  /** A supervisor whose tasks end with one of this one's. */
  child (name: string): Supervisor {
    return new Supervisor(this.scope.child(name), this._onFatal)
  }

  /** Closes the scope and waits until every task has unwound. */
  async stop (reason: string): Promise<void> {
    this.scope.close(reason)
    await Promise.all(this._running)
  }

  private _forgetWhenDone (running: Promise<void>): void {
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
