/**
 * What a run of the fleet's soak has seen, from the sides of callers, trainers,
 * operators and endpoints. Times are milliseconds since the run began.
 */

/** A request or item that reached an endpoint. */
export interface Arrival {
  attemptId: string
  endpointName: string
  /** The address of the host that sent it. */
  fromIp: string
  atMs: number
  /** False for what the endpoint refused and did not run. */
  isRun: boolean
}

/** Requests that end endpoints have ids that begin so, with the number of the caller and of its try. */
export const DEADLY_ID = /^(deadly-\d+)-\d+$/

/** An endpoint ended under a request. */
export interface EndSeen {
  /** Which of the callers that repeat such a request. */
  callerId: string
  endpointName: string
  atMs: number
}

export enum CallKind {
  Repeatable = 'repeatable',
  AtMostOnce = 'atMostOnce'
}

export interface CallSeen {
  attemptId: string
  kind: CallKind
  sentAtMs: number
  /** Undefined when no whole answer came. */
  status: number | undefined
  body: string
  hasReceipt: boolean
}

export interface ItemSeen {
  itemId: string
  state: string
  text: string
  versions: number[]
}

export interface BatchSeen {
  batchId: string
  itemIds: string[]
  minVersion: number
  acceptedAtMs: number | undefined
  /** Its trainer ended it before all was listed: what is not listed by then need not be. */
  isEndedEarly: boolean
  /** What each position was when it was first read. */
  firstRead: ItemSeen[]
  /** All positions at the end; undefined when they could not be read. */
  atEnd: ItemSeen[] | undefined
}

export interface LeaveSeen {
  endpointName: string
  confirmedAtMs: number
}

export interface ConfigurationSeen {
  version: number
  confirmedAtMs: number
}

/** A request on the route that came with a version of the configuration. */
export interface RouteProbe {
  version: number
  sentAtMs: number
  status: number | undefined
}

/** A fault, with the time that it takes until whatever it hit is back. */
export interface Disturbance {
  kind: string
  target: string
  /** Of the hosts that it hit; none for endpoints. */
  targetIps: string[]
  /** Whether a control host was hit: the leader may have been. */
  hitsControl: boolean
  fromMs: number
  untilMs: number
}

export interface SoakRecord {
  arrivals: Arrival[]
  calls: CallSeen[]
  batches: BatchSeen[]
  leaves: LeaveSeen[]
  ends: EndSeen[]
  configurations: ConfigurationSeen[]
  probes: RouteProbe[]
  /** The version that was read back at the end, of any host that answered. */
  readBackVersion: number | undefined
  disturbances: Disturbance[]
  /** Programs that ended without being told to. */
  ownEnds: string[]
}

export function emptyRecord (): SoakRecord {
  return { arrivals: [], calls: [], batches: [], leaves: [], ends: [], configurations: [], probes: [], readBackVersion: undefined, disturbances: [], ownEnds: [] }
}

/** What the endpoint answers to a request: nobody else's. */
export function answerTo (attemptId: string): string {
  return `answer to ${attemptId}`
}

/** Events of an item: few, most of them, with a tail; always the same for the item. */
export function eventsCountOf (itemId: string): number {
  let hash = 2_166_136_261
  for (const letter of itemId) hash = Math.imul(hash ^ letter.charCodeAt(0), 16_777_619) >>> 0
  return 3 + hash % 12 + (hash % 10 === 0 ? 20 : 0)
}

export function eventText (itemId: string, eventId: number, version: number): string {
  return `${itemId}:${eventId}:v${version}`
}
