/**
 * The protocol-independent client interface to endpoints. An adapter implements
 * this interface; every outcome must state reliably whether the endpoint ran the call.
 */
import type { FleetEndpoint } from '../protocol/fleet.js'
import type { NamedWeights } from '../protocol/routingCommands.js'
import type { Scope } from '../utils/scope.js'

/** Requests running and waiting at an endpoint, as reported by the endpoint. */
export interface ReportedLoad {
  runningCount: number
  waitingCount: number
  slotsCount: number
  /** How long work takes at the endpoint right now, relative to the usual time; absent if the endpoint does not report it. */
  slowdownFactor?: number
}

export interface EndpointRequest {
  endpoint: FleetEndpoint
  method: string
  /** Path with the query string, as the caller sent it. */
  path: string
  /** The host that the caller addressed. */
  host: string
  /** Names and values alternating, without hop-by-hop headers. */
  headers: string[]
  body: Uint8Array
  attemptId: string
  /**
   * The endpoint has refused a request with this id, and it matters whether this try runs:
   * the request may run only once, or its caller is told that it has not run.
   * The id does not tell a late copy of that refusal from the answer, so the request must
   * not go over a connection that was used before.
   */
  wasRefusedThere?: boolean
  /** The client account that the request runs for; undefined for none. */
  account?: string | undefined
  /** Time until which an answer is of use; the endpoint is sent the remaining time. */
  deadlineMs: number
}

export type EndpointOutcome =
  /** A complete answer that belongs to the request. */
  | { kind: 'answered', status: number, headers: string[], body: Uint8Array, receipt: string | undefined, load: ReportedLoad | undefined }
  /** The endpoint stated that it did not run the request. */
  | { kind: 'notExecuted', status: number, load: ReportedLoad | undefined }
  /** Another endpoint has taken over the address. Nothing ran. */
  | { kind: 'misdirected' }
  | Unreached
  | Broken

/** No connection was established. Nothing ran. */
export interface Unreached {
  kind: 'unreached'
  reason: string
  /** The connection was refused: no endpoint listens at the address. */
  isRefused?: boolean
  /** The request itself cannot be sent to any endpoint, such as one with a control character in a header; no endpoint is to blame. */
  isUnsendable?: boolean
}

/** No usable answer; the request may have run. */
export interface Broken {
  kind: 'broken'
  reason: string
  /** The deadline of the exchange passed: its endpoint may still be at work, and is not to blame. */
  isOutOfTime?: boolean
  /** The endpoint closed or reset the connection, as opposed to sending a bad answer. */
  isConnectionLost?: boolean
}

/** Whether anything listens at an address. */
export enum Listening {
  Yes = 'yes',
  /** The connection was refused. */
  No = 'no',
  /** Neither accepted nor refused in time. */
  Unknown = 'unknown'
}

/** Head of a streamed answer, without hop-by-hop headers. */
export interface StreamHead {
  status: number
  headers: string[]
}

/** Receives a streamed answer as it arrives. */
export interface StreamHandler {
  onHead: (head: StreamHead) => void
  /** Resolves when more data may follow (backpressure); resolves with a reason when the stream must be aborted. */
  onData: (chunk: Uint8Array) => Promise<string | undefined>
}

export type StreamOutcome =
  /** The complete stream was passed on. */
  | { kind: 'ended' }
  /** Not a stream: a complete answer of another kind, or a failure. */
  | EndpointOutcome

export interface StreamedRequest extends EndpointRequest {
  /** Id of the last event received so far; the endpoint continues after this event. */
  afterEventId: number | undefined
}

/**
 * The deadline of an item says from when it may be given up; a run in progress goes on,
 * as its output is of use late too. What ends a run is that its events stop.
 */
export interface ItemRequest extends Omit<EndpointRequest, 'method'> {
  /** Id of the last event received so far; the endpoint continues after this event. */
  afterEventId: number | undefined
}

/** One event of a rollout item's output. */
export interface ItemEvent {
  id: number
  data: string
  /** Version of the weights that generated the event. */
  version: number
}

export type ItemOutcome =
  /** The output is complete. */
  | { kind: 'finished' }
  | { kind: 'notExecuted', status: number }
  | { kind: 'misdirected' }
  | Unreached
  /** The endpoint ran the item and answered with an error. */
  | { kind: 'failed', status: number }
  /** The item can never be completed. */
  | { kind: 'impossible' }
  /** The stream broke; the events received before remain valid. */
  | Broken

export interface EndpointReport {
  isBusy: boolean
  /** Number of weight load orders that the endpoint has accepted since its start. */
  ordersCount: number
  weights: NamedWeights[]
}

export enum LoadMode {
  /** Running items finish before the new version is loaded. */
  Block = 'block',
  /** Running items are cut short. */
  Truncate = 'truncate',
  /** Running items continue with the new version. */
  Retain = 'retain'
}

export interface LoadOrder {
  model: string
  version: number
  mode: LoadMode
  /** The host that sends the weight load orders. */
  holder: string
  /** Increases with every host that takes over sending these orders. */
  fencingNumber: number
  expectedOrdersCount: number | undefined
}

export type OrderOutcome =
  | { kind: 'underWay' }
  | { kind: 'alreadyHolds' }
  /** Another order is in progress, or the number of accepted orders differs from the expected one. */
  | { kind: 'conflict' }
  | { kind: 'staleFence' }
  | { kind: 'refused', status: number }
  | { kind: 'misdirected' }
  /** The order may have been accepted, or may be accepted later. */
  | { kind: 'unknown', reason: string }

export interface EndpointClient {
  /** Sends a request and reads the complete answer. */
  call: (request: EndpointRequest, scope: Scope) => Promise<EndpointOutcome>
  /** Sends a request and, if the answer is a stream, passes it on as it arrives. */
  stream: (request: StreamedRequest, scope: Scope, handler: StreamHandler) => Promise<StreamOutcome>
  /** Runs a rollout item; calls `onEvent` as the endpoint generates events. */
  runItem: (request: ItemRequest, scope: Scope, onEvent: (event: ItemEvent) => void) => Promise<ItemOutcome>
  /** Queries the state of the endpoint; undefined when it does not answer in time. */
  report: (endpoint: FleetEndpoint, deadlineMs: number, scope: Scope) => Promise<EndpointReport | undefined>
  /** Whether the endpoint accepts connections; connects only, without sending a request. */
  isListening: (endpoint: FleetEndpoint, deadlineMs: number, scope: Scope) => Promise<Listening>
  orderLoad: (endpoint: FleetEndpoint, order: LoadOrder, deadlineMs: number, scope: Scope) => Promise<OrderOutcome>
  /** Closes connections to all endpoints that are not in the set. */
  closeAllExcept: (endpointIds: ReadonlySet<string>) => void
}
