/**
 * What the product asks of endpoints, whatever they speak. An adapter
 * implements it; every outcome says truly whether the endpoint ran the call.
 */
import type { FleetEndpoint } from '../protocol/fleet.js'
import type { NamedWeights } from '../protocol/routingCommands.js'
import type { Scope } from '../utils/scope.js'

/** Requests running and waiting at an endpoint, as it said itself. */
export interface ReportedLoad {
  runningCount: number
  waitingCount: number
  slotsCount: number
}

export interface EndpointRequest {
  endpoint: FleetEndpoint
  method: string
  /** With its query, as the caller sent it. */
  path: string
  /** The host that the caller addressed. */
  host: string
  /** Names and values in turn, without those that concern one connection only. */
  headers: string[]
  body: Uint8Array
  attemptId: string
  /** The client account in whose name it runs; undefined for none. */
  account?: string | undefined
  /** Instant until which an answer is of use; the endpoint is told what remains. */
  deadlineMs: number
}

export type EndpointOutcome =
  /** A whole answer that belongs to the request. */
  | { kind: 'answered', status: number, headers: string[], body: Uint8Array, receipt: string | undefined, load: ReportedLoad | undefined }
  /** The endpoint said that it did not run the request. */
  | { kind: 'notExecuted', status: number, load: ReportedLoad | undefined }
  /** Another endpoint has taken over the address. Nothing ran. */
  | { kind: 'misdirected' }
  | Unreached
  | Broken

/** No connection came about. Nothing ran. */
export interface Unreached {
  kind: 'unreached'
  reason: string
  /** The address took no connection: no endpoint listens there. */
  isRefused?: boolean
}

/** No usable answer; it may have run. */
export interface Broken {
  kind: 'broken'
  reason: string
  /** The other side closed the connection or reset it, rather than answering badly. */
  isConnectionLost?: boolean
}

/** Whether anything listens at an address. */
export enum Listening {
  Yes = 'yes',
  /** The connection was refused. */
  No = 'no',
  /** Nobody said either. */
  Unknown = 'unknown'
}

/** Head of a streamed answer, without what concerns one connection only. */
export interface StreamHead {
  status: number
  headers: string[]
}

/** What a streamed answer is told to, as it comes. */
export interface StreamListener {
  onHead: (head: StreamHead) => void
  /** Resolves when more may come; with a reason when the stream must not go on. */
  onData: (chunk: Uint8Array) => Promise<string | undefined>
}

export type StreamOutcome =
  /** The whole stream was passed on. */
  | { kind: 'ended' }
  /** No stream: an answer of another kind, whole. */
  | EndpointOutcome

export interface StreamedRequest extends EndpointRequest {
  /** Id of the last event that is held already; the endpoint goes on behind it. */
  afterEventId: number | undefined
}

export interface ItemRequest extends Omit<EndpointRequest, 'method'> {
  /** Id of the last event that is held already; the endpoint goes on behind it. */
  afterEventId: number | undefined
}

/** One event of a rollout item's output. */
export interface ItemEvent {
  id: number
  data: string
  /** Version of the weights that made it. */
  version: number
}

export type ItemOutcome =
  /** The output is whole. */
  | { kind: 'finished' }
  | { kind: 'notExecuted', status: number }
  | { kind: 'misdirected' }
  | Unreached
  /** The endpoint tried and failed. */
  | { kind: 'failed', status: number }
  /** The item can never be done. */
  | { kind: 'impossible' }
  /** The stream broke off; the events that came before count. */
  | Broken

export interface EndpointReport {
  isBusy: boolean
  /** Orders that the endpoint has taken since its start. */
  ordersCount: number
  weights: NamedWeights[]
}

export enum LoadMode {
  /** Runs end before the new version loads. */
  Block = 'block',
  /** Runs are cut off. */
  Truncate = 'truncate',
  /** Runs go on under the new version. */
  Retain = 'retain'
}

export interface LoadOrder {
  model: string
  version: number
  mode: LoadMode
  /** The host that gives orders. */
  holder: string
  /** Higher with every host that takes over the giving of orders. */
  fencingNumber: number
  expectedOrdersCount: number | undefined
}

export type OrderOutcome =
  | { kind: 'underWay' }
  | { kind: 'alreadyHolds' }
  /** Another order is in progress, or the count of orders differs. */
  | { kind: 'conflict' }
  | { kind: 'staleFence' }
  | { kind: 'refused', status: number }
  | { kind: 'misdirected' }
  /** It may have been taken, or may yet be. */
  | { kind: 'unknown', reason: string }

export interface EndpointClient {
  /** Sends a request and reads the whole answer. */
  call: (request: EndpointRequest, scope: Scope) => Promise<EndpointOutcome>
  /** Sends a request and passes its answer on as it comes, if that is a stream. */
  stream: (request: StreamedRequest, scope: Scope, listener: StreamListener) => Promise<StreamOutcome>
  /** Runs a rollout item; events come as the endpoint makes them. */
  runItem: (request: ItemRequest, scope: Scope, onEvent: (event: ItemEvent) => void) => Promise<ItemOutcome>
  /** The endpoint's own word on its state; undefined when it does not answer in time. */
  report: (endpoint: FleetEndpoint, deadlineMs: number, scope: Scope) => Promise<EndpointReport | undefined>
  /** Whether an endpoint takes connections; nothing is asked of it. */
  isListening: (endpoint: FleetEndpoint, deadlineMs: number, scope: Scope) => Promise<Listening>
  orderLoad: (endpoint: FleetEndpoint, order: LoadOrder, deadlineMs: number, scope: Scope) => Promise<OrderOutcome>
  /** Closes connections to endpoints that are not among these any more. */
  keepOnly: (endpointIds: ReadonlySet<string>) => void
}
