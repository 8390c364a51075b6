/**
 * An abort signal for undici requests. It replaces AbortController, whose every
 * abort creates a DOMException with a stack trace, even after a complete response.
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

  /** Detaches from the scope: the closing of the scope no longer aborts the request. */
  detach (): void {
    this._dispose()
  }

  /** Detaches from the scope and the request; called once the response is complete. */
  release (): void {
    this._dispose()
    this.removeAllListeners()
  }
}
