/**
 * RPC over a connection: typed requests with one reply each, and one-way
 * notifications. Either side may call the other. The body of a call is
 * validated against the schema of its method before the handler is called.
 */
import { z } from 'zod'
import { ScopeClosedError } from '../utils/errors.js'
import type { Progress } from '../utils/progress.js'
import { SharedMessage, type Connection } from './connection.js'

enum FrameKind {
  Call = 0,
  Reply = 1,
  Notice = 2,
  Unserved = 3
}

const frameSchema = z.object({
  kind: z.enum(FrameKind),
  id: z.number().optional(),
  method: z.string().optional(),
  remainingMs: z.number().optional(),
  body: z.unknown()
})

/** A method that the system's own processes call on each other. */
export interface RpcMethod<Request, Reply> {
  name: string
  request: z.ZodType<Request>
  reply: z.ZodType<Reply>
}

export function rpcMethod<Request, Reply> (name: string, request: z.ZodType<Request>, reply: z.ZodType<Reply>): RpcMethod<Request, Reply> {
  return { name, request, reply }
}

export type CallOutcome<T> =
  | { kind: 'replied', body: T }
  /** There is no connection, or the peer does not serve the method or found the body malformed: nothing was executed. */
  | { kind: 'unserved', reason: string }
  /** The call may or may not have been executed. */
  | { kind: 'lost', reason: string }

/** @param remainingMs how long the caller still waits for the reply */
export type Handler<Request, Reply> = (request: Request, remainingMs: number) => Promise<Reply> | Reply

interface RegisteredHandler {
  method: RpcMethod<unknown, unknown>
  handler: Handler<unknown, unknown>
}

/** The methods that one side serves; may be shared by its connections. */
export class RpcHandlers {
  private readonly _handlers = new Map<string, RegisteredHandler>()

  on<Request, Reply> (method: RpcMethod<Request, Reply>, handler: Handler<Request, Reply>): void {
    this._handlers.set(method.name, {
      method: method as RpcMethod<unknown, unknown>,
      handler: handler as Handler<unknown, unknown>
    })
  }

  find (name: string): RegisteredHandler | undefined {
    return this._handlers.get(name)
  }
}

export class RpcPeer {
  readonly connection: Connection
  private readonly _handlers: RpcHandlers
  private readonly _onFatal: (error: unknown) => void
  private readonly _pendingCalls = new Map<number, (outcome: CallOutcome<unknown>) => void>()
  private _nextId = 1

  /** @param onFatal called when a handler throws, which indicates a violated invariant, not an outcome of the call */
  constructor (connection: Connection, handlers: RpcHandlers, onFatal: (error: unknown) => void) {
    this.connection = connection
    this._handlers = handlers
    this._onFatal = onFatal
    connection.onMessage(message => this._onFrame(message))
    connection.scope.onClose(() => this._failPendingCalls())
  }

  /** Calls a method and waits for the reply until the deadline of the progress. */
  async call<Request, Reply> (method: RpcMethod<Request, Reply>, body: Request, progress: Progress): Promise<CallOutcome<Reply>> {
    if (this.connection.scope.isClosed) return { kind: 'unserved', reason: 'not connected' }
    const id = this._nextId++
    const reply = new Promise<CallOutcome<unknown>>(resolve => this._pendingCalls.set(id, resolve))
    this.connection.send({ kind: FrameKind.Call, id, method: method.name, remainingMs: progress.remainingMs(), body })
    try {
      const raced = await progress.race(reply)
      if (raced.kind === 'deadlinePassed') return { kind: 'lost', reason: `no reply to ${method.name} in time` }
      return this._checkReply(method, raced.value)
    } finally {
      this._pendingCalls.delete(id)
    }
  }

  /** Sends a one-way notification, which may be lost with the connection. */
  notify<Request> (method: RpcMethod<Request, unknown>, body: Request): void {
    this.connection.send({ kind: FrameKind.Notice, method: method.name, body })
  }

  /** Sends the same one-way notification to many peers; it is encoded once. */
  static notifyAll<Request> (peers: Iterable<RpcPeer>, method: RpcMethod<Request, unknown>, body: Request): void {
    const shared = new SharedMessage({ kind: FrameKind.Notice, method: method.name, body })
    for (const { connection } of peers) connection.sendShared(shared)
  }

  private _checkReply<Reply> (method: RpcMethod<unknown, Reply> | RpcMethod<never, Reply>, outcome: CallOutcome<unknown>): CallOutcome<Reply> {
    if (outcome.kind !== 'replied') return outcome
    const parsed = method.reply.safeParse(outcome.body)
    if (parsed.success) return { kind: 'replied', body: parsed.data }
    return { kind: 'lost', reason: `malformed reply to ${method.name}: ${parsed.error.message}` }
  }

  private _failPendingCalls (): void {
    const reason = this.connection.scope.closeReason ?? 'connection closed'
    for (const resolve of this._pendingCalls.values()) resolve({ kind: 'lost', reason })
    this._pendingCalls.clear()
  }

  private _onFrame (message: unknown): void {
    const parsed = frameSchema.safeParse(message)
    if (!parsed.success) return this.connection.close('malformed frame')
    const frame = parsed.data
    switch (frame.kind) {
      case FrameKind.Call:
      case FrameKind.Notice:
        this._serve(frame.id, frame.method ?? '', frame.body, frame.remainingMs ?? 0).catch(error => this._onHandlerError(error))
        return
      case FrameKind.Reply:
        this._pendingCalls.get(frame.id ?? 0)?.({ kind: 'replied', body: frame.body })
        return
      case FrameKind.Unserved:
        this._pendingCalls.get(frame.id ?? 0)?.({ kind: 'unserved', reason: String(frame.body) })
    }
  }

  private async _serve (id: number | undefined, name: string, body: unknown, remainingMs: number): Promise<void> {
    const registered = this._handlers.find(name)
    if (!registered) return this._refuse(id, `no method ${name}`)
    const parsed = registered.method.request.safeParse(body)
    if (!parsed.success) return this._refuse(id, `malformed ${name}: ${parsed.error.message}`)
    const reply = await registered.handler(parsed.data, remainingMs)
    if (id !== undefined) this.connection.send({ kind: FrameKind.Reply, id, body: reply })
  }

  /** A handler interrupted by the closing of its scope violates no invariant; the caller gets no reply. */
  private _onHandlerError (error: unknown): void {
    if (!(error instanceof ScopeClosedError)) this._onFatal(error)
  }

  private _refuse (id: number | undefined, reason: string): void {
    if (id !== undefined) this.connection.send({ kind: FrameKind.Unserved, id, body: reason })
  }
}
