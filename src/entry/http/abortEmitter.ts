/**
 * Tells undici to give up a request. An AbortController would do, but each
 * abort makes a DOMException with a stack, even when the answer is complete.
 */
import { EventEmitter } from 'node:events'
import type { Scope } from '../../utils/scope.js'

const ABORT_EVENT = 'abort'

export class AbortEmitter extends EventEmitter {
  private _dispose: () => void = () => {}
  private _isAborted = false

  /** Aborts when the scope closes. */
  constructor (scope: Scope) {
    super()
    this._dispose = scope.onClose(() => this.abort())
  }

  /** Read by undici. */
  get aborted (): boolean {
    return this._isAborted
  }

  abort (): void {
    this._dispose()
    if (this._isAborted) return
    this._isAborted = true
    this.emit(ABORT_EVENT)
  }

  /** From now on the scope may close without an abort. */
  detach (): void {
    this._dispose()
  }

  /** The answer is complete: nothing is left to abort. */
  release (): void {
    this._dispose()
    this.removeAllListeners()
  }
}
