/**
 * Scopes: the lifetime of a connection, a peer task or a whole program.
 *
 * Every await of a task is raced against the scope that owns the task, so closing
 * a scope ends everything in it. The design follows Playwright's LongStandingScope;
 * here scopes also form a tree, which mirrors the supervisor tree at run time.
 */
import { ScopeClosedError, type ScopeClosed } from './errors.js'

type Rejecter = (error: ScopeClosed) => void

export class Scope {
  private readonly _name: string
  private readonly _rejecters = new Set<Rejecter>()
  private readonly _closeCallbacks = new Set<() => void>()
  private _closeReason: string | undefined
  /** Created on demand: most scopes close while nothing waits on them. */
  private _closedError: ScopeClosed | undefined

  constructor (name: string) {
    this._name = name
  }

  get name (): string {
    return this._name
  }

  get isClosed (): boolean {
    return this._closeReason !== undefined
  }

  /** Why the scope was closed; undefined while it is open. */
  get closeReason (): string | undefined {
    return this._closeReason
  }

  /** Creates a scope that closes with this one and may be closed earlier. */
  child (name: string): Scope {
    const child = new Scope(`${this._name}/${name}`)
    const dispose = this.onClose(() => child.close(this.closeReason ?? 'parent closed'))
    child.onClose(dispose)
    return child
  }

  /** Calls back once when the scope closes, or immediately if it is closed; the returned function unregisters. */
  onClose (callback: () => void): () => void {
    if (this.isClosed) {
      callback()
      return () => {}
    }
    this._closeCallbacks.add(callback)
    return () => this._closeCallbacks.delete(callback)
  }

  /** An AbortSignal that fires when the scope closes, for libraries that accept an AbortSignal. */
  signal (): AbortSignal {
    const controller = new AbortController()
    this.onClose(() => controller.abort(this._error()))
    return controller.signal
  }

  /**
   * Runs a call with an AbortSignal that fires if the scope closes before the call
   * has ended. A scope that closes afterwards creates no error: creating errors with
   * stack traces took a tenth of the processor time of a leader with 250 concurrent
   * runs (profile of `bench -- leader`).
   */
  async withSignal<T> (call: (signal: AbortSignal) => Promise<T>): Promise<T> {
    const controller = new AbortController()
    const release = this.onClose(() => controller.abort(this._error()))
    try {
      return await call(controller.signal)
    } finally {
      release()
    }
  }

  close (reason: string): void {
    if (this.isClosed) return
    this._closeReason = reason
    const rejecters = [...this._rejecters]
    this._rejecters.clear()
    for (const reject of rejecters) reject(this._error())
    const callbacks = [...this._closeCallbacks]
    this._closeCallbacks.clear()
    for (const callback of callbacks) callback()
  }

  throwIfClosed (): void {
    if (this.isClosed) throw this._error()
  }

  /**
   * Waits for a promise, or for the scope to close.
   * @throws ScopeClosedError when the scope closes first.
   */
  async race<T> (promise: Promise<T>): Promise<T> {
    if (this.isClosed) {
      promise.catch(() => {})
      throw this._error()
    }
    let rejecter: Rejecter | undefined
    const closed = new Promise<never>((_resolve, reject) => {
      rejecter = reject
      this._rejecters.add(reject)
    })
    try {
      return await Promise.race([promise, closed])
    } finally {
      if (rejecter) this._rejecters.delete(rejecter)
    }
  }

  private _error (): ScopeClosed {
    const reason = this._closeReason ?? ''
    this._closedError ??= new ScopeClosedError(`${this._name} closed: ${reason}`, { props: { reason } })
    return this._closedError
  }
}
