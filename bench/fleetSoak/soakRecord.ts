/**
 * The observations of one fleet soak run by callers, trainers, operators and
 * endpoints. Times are milliseconds since the start of the run.
 */

import type { ProgramPeak } from './programWatch.js'

/** A request or item that arrived at an endpoint. */
export interface Arrival {
  attemptId: string
  endpointName: string
  /** The address of the host that sent it. */
  fromIp: string
  atMs: number
  /** False if the endpoint refused it and did not run it. */
  isRun: boolean
}

/** Attempt ids of poison requests, which crash endpoints: the caller's id, then the number of the attempt. */
export const POISON_ID = /^(deadly-\d+)-\d+$/

/** An endpoint that crashed while it ran a poison request. */
export interface ObservedCrash {
  /** The caller that repeats the request. */
  callerId: string
  endpointName: string
  atMs: number
}

export enum CallKind {
  Repeatable = 'repeatable',
  AtMostOnce = 'atMostOnce'
}

export interface ObservedCall {
  attemptId: string
  kind: CallKind
  sentAtMs: number
  /** Undefined when no complete response arrived. */
  status: number | undefined
  body: string
  hasReceipt: boolean
}

/** A large answer of which nothing was read for a while. */
export interface SlowRead {
  attemptId: string
  /** All bytes that the head announced were read. */
  isComplete: boolean
  status: number | undefined
  body: string
}

/** A request on a connection that its caller keeps to a host that stops. */
export interface StopCall {
  attemptId: string
  hostIp: string
  sentAtMs: number
  endedAtMs: number
  /** Undefined when no complete response arrived. */
  status: number | undefined
}

export interface ObservedItem {
  itemId: string
  state: string
  text: string
  versions: number[]
}

export interface ObservedBatch {
  batchId: string
  itemIds: string[]
  minVersion: number
  acceptedAtMs: number | undefined
  /** Whether the trainer ended it before all items were listed; the others need not be listed any more. */
  isEndedEarly: boolean
  /** The result at each position when it was first read. */
  firstRead: ObservedItem[]
  /** All results at the end of the run; undefined when they could not be read. */
  atEnd: ObservedItem[] | undefined
}

export interface ObservedDeregistration {
  endpointName: string
  confirmedAtMs: number
}

export interface ObservedConfiguration {
  version: number
  confirmedAtMs: number
}

/** A request on the route that a version of the configuration adds. */
export interface RouteProbe {
  version: number
  sentAtMs: number
  status: number | undefined
}

/** A fault, from its start until what it hit has recovered. */
export interface Disturbance {
  kind: string
  target: string
  /** Addresses of the hosts that it hit; empty for endpoints. */
  targetIps: string[]
  /** Whether a control host, and so possibly the leader, was hit. */
  hitsControl: boolean
  fromMs: number
  untilMs: number
}

export interface SoakRecord {
  arrivals: Arrival[]
  calls: ObservedCall[]
  slowReads: SlowRead[]
  stopCalls: StopCall[]
  batches: ObservedBatch[]
  leaves: ObservedDeregistration[]
  ends: ObservedCrash[]
  configurations: ObservedConfiguration[]
  probes: RouteProbe[]
  /** The version that was read back at the end, from any host that responded. */
  readBackVersion: number | undefined
  disturbances: Disturbance[]
  /** Programs that exited without having been stopped. */
  ownEnds: string[]
  /** Listeners that did not serve although nothing had hit their host for a while. */
  silentListeners: string[]
  /** The most that each program has used. */
  peaks: ProgramPeak[]
  /** What clients that do not behave have sent. */
  crowdBytes: number
}

export function emptyRecord (): SoakRecord {
  return { arrivals: [], calls: [], slowReads: [], stopCalls: [], batches: [], leaves: [], ends: [], configurations: [], probes: [], readBackVersion: undefined, disturbances: [], ownEnds: [], silentListeners: [], peaks: [], crowdBytes: 0 }
}

/** Attempt ids of requests that an endpoint works on for some milliseconds. */
export const WORK_ID = /^work-(\d+)-/

/** Attempt ids of requests with large answers. */
const LARGE_ID = /^large-/
const LARGE_RESPONSE_BYTES = 300_000

/** The response body of an endpoint, unique to the request. */
export function responseTo (attemptId: string): string {
  const response = `answer to ${attemptId}`
  return LARGE_ID.test(attemptId) ? response.padEnd(LARGE_RESPONSE_BYTES, '.') : response
}

/** Number of events of an item: 3 to 14, with 20 more for one item in ten; deterministic for each item. */
export function eventsCountOf (itemId: string): number {
  let hash = 2_166_136_261
  for (const letter of itemId) hash = Math.imul(hash ^ letter.charCodeAt(0), 16_777_619) >>> 0
  return 3 + hash % 12 + (hash % 10 === 0 ? 20 : 0)
}

export function eventText (itemId: string, eventId: number, version: number): string {
  return `${itemId}:${eventId}:v${version}`
}
