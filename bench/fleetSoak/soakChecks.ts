/**
 * Checks the guarantees of the system on the record of a fleet soak run. A
 * guarantee with a time limit is checked only where no fault was active from some
 * time before until the moment in question.
 */
import { FaultKind } from './faultPlan.js'
import { DEFAULT_MEMORY_MB } from './soakFleet.js'
import { SERVES_WITHIN_MS } from './startWatch.js'
import { responseTo, CallKind, POISON_ID, eventsCountOf, eventText, type ObservedBatch, type ObservedItem, type SoakRecord, type StopCall } from './soakRecord.js'

/** Nothing is sent to an endpoint later than this after its deregistration was confirmed. */
export const DRAIN_MS = 2_000
/** A confirmed configuration is in force everywhere after this time. */
export const APPLY_MS = 2_500
/** Time after a fault for its after-effects, such as elections and reconnections. */
export const RECOVERY_MS = 4_000

const COMPLETED = 'completed'
/** Statuses that state that the request did not run and will not. */
const NOT_RUN_STATUSES = [408, 421, 429, 503]

/** One line for each violation, with what caused it. */
export function findViolations (record: SoakRecord): string[] {
  return [
    ...mismatchedResponses(record),
    ...mismatchedSlowReads(record),
    ...repeatedRuns(record),
    ...falseRefusals(record),
    ...cutOffByStops(record),
    ...lateRequests(record),
    ...poisonRequests(record),
    ...record.batches.flatMap(batchViolations),
    ...staleConfigurations(record),
    ...record.ownEnds.map(end => `exited unexpectedly: ${end}`),
    ...record.silentListeners.map(listener => `did not start: ${listener} serves nothing ${SERVES_WITHIN_MS} ms after its last fault`),
    ...record.peaks.flatMap(({ hostName, program, anonymousMb }) => (anonymousMb > DEFAULT_MEMORY_MB ? [`${program} of ${hostName} used ${anonymousMb} MB, more than the ${DEFAULT_MEMORY_MB} of its settings`] : []))
  ]
}

function mismatchedResponses ({ calls }: SoakRecord): string[] {
  const successes = calls.filter(({ status }) => status === 200)
  return successes.flatMap(({ attemptId, body, hasReceipt }) => {
    if (!hasReceipt) return [`${attemptId}: succeeded without a receipt`]
    return body === responseTo(attemptId) ? [] : [`${attemptId}: response belongs to another request or is incomplete: "${body.slice(0, 60)}"`]
  })
}

/** A broken-off answer is allowed, one that looks complete has to be. */
function mismatchedSlowReads ({ slowReads }: SoakRecord): string[] {
  const complete = slowReads.filter(({ isComplete, status }) => isComplete && status === 200)
  return complete.flatMap(({ attemptId, body }) => (body === responseTo(attemptId) ? [] : [`${attemptId}: a slow reader got a complete answer that is not its own`]))
}

function runsOf ({ arrivals }: SoakRecord): Map<string, number> {
  const runs = new Map<string, number>()
  for (const { attemptId, isRun } of arrivals) if (isRun) runs.set(attemptId, (runs.get(attemptId) ?? 0) + 1)
  return runs
}

function repeatedRuns (record: SoakRecord): string[] {
  const runs = runsOf(record)
  return record.calls.flatMap(({ attemptId, kind }) => {
    const count = runs.get(attemptId) ?? 0
    return kind === CallKind.AtMostOnce && count > 1 ? [`${attemptId}: may run once, ran ${count} times`] : []
  })
}

function falseRefusals (record: SoakRecord): string[] {
  const runs = runsOf(record)
  return record.calls.flatMap(({ attemptId, status }) => {
    const isRefused = status !== undefined && NOT_RUN_STATUSES.includes(status)
    return isRefused && runs.has(attemptId) ? [`${attemptId}: status ${status} states that it did not run, but an endpoint ran it`] : []
  })
}

/** A host that stops has until then to answer what it has passed on. */
function cutOffByStops (record: SoakRecord): string[] {
  const runs = runsOf(record)
  const falselyRefused = record.stopCalls.filter(({ attemptId, status }) => status !== undefined && NOT_RUN_STATUSES.includes(status) && runs.has(attemptId))
  const repeated = record.stopCalls.filter(({ attemptId }) => (runs.get(attemptId) ?? 0) > 1)
  const cutOff = record.stopCalls.filter(call => call.status === undefined && runs.has(call.attemptId) && isHitByStopsOnly(record, call))
  return [
    ...falselyRefused.map(({ attemptId, status }) => `${attemptId}: status ${status} states that it did not run, but an endpoint ran it`),
    ...repeated.map(({ attemptId }) => `${attemptId}: may run once, ran ${runs.get(attemptId)} times`),
    ...cutOff.map(({ attemptId, hostIp, sentAtMs }) => `${attemptId}: ran at an endpoint, and its connection to ${hostIp}, which stopped, ended without an answer; sent at ${Math.round(sentAtMs)} ms`)
  ]
}

/** Whether only planned stops hit anything between some time before a call and its end. */
function isHitByStopsOnly ({ disturbances }: SoakRecord, { sentAtMs, endedAtMs }: StopCall): boolean {
  return disturbances.every(({ kind, fromMs, untilMs }) => kind === FaultKind.Stop || untilMs + RECOVERY_MS < sentAtMs || fromMs > endedAtMs)
}

function isUndisturbed ({ disturbances }: SoakRecord, fromMs: number, untilMs: number): boolean {
  return disturbances.every(disturbance => disturbance.untilMs + RECOVERY_MS < fromMs || disturbance.fromMs > untilMs)
}

/**
 * Whether a host must know of a confirmed change: it was not hit itself from
 * some time before until the moment in question, and no control host was hit after
 * the confirmation. A control host hit earlier does not matter, as the change was
 * confirmed by the others.
 */
function isConnected ({ disturbances }: SoakRecord, ip: string, confirmedAtMs: number, atMs: number): boolean {
  return disturbances.every(({ targetIps, hitsControl, fromMs, untilMs }) => {
    const hitsHost = targetIps.includes(ip) && untilMs + RECOVERY_MS >= confirmedAtMs && fromMs <= atMs
    const hitsLater = hitsControl && fromMs >= confirmedAtMs && fromMs <= atMs
    return !hitsHost && !hitsLater
  })
}

function lateRequests (record: SoakRecord): string[] {
  return record.leaves.flatMap(({ endpointName, confirmedAtMs }) => (
    record.arrivals
      .filter(({ endpointName: at, atMs }) => at === endpointName && atMs > confirmedAtMs + DRAIN_MS)
      .filter(({ fromIp, atMs }) => isConnected(record, fromIp, confirmedAtMs, atMs))
      .map(({ attemptId, fromIp, atMs }) => `${attemptId}: reached ${endpointName} from ${fromIp} ${Math.round(atMs - confirmedAtMs)} ms after its deregistration was confirmed`)
  ))
}

/** All hosts must know within this time that a request has crashed endpoints. */
export const POISON_KNOWN_MS = 3_000
const QUARANTINE_CRASHES_COUNT = 3
const MAX_LATE_SENDS_COUNT = 3

function poisonRequests (record: SoakRecord): string[] {
  const callerIds = [...new Set(record.ends.map(({ callerId }) => callerId))]
  return callerIds.flatMap(callerId => {
    const crashesAtMs = record.ends.filter(crash => crash.callerId === callerId).map(({ atMs }) => atMs).sort((left, right) => left - right)
    const thirdCrashAtMs = crashesAtMs[QUARANTINE_CRASHES_COUNT - 1]
    if (thirdCrashAtMs === undefined) return []
    const late = record.arrivals.filter(({ attemptId, fromIp, atMs }) => (
      POISON_ID.exec(attemptId)?.[1] === callerId && atMs > thirdCrashAtMs + POISON_KNOWN_MS && isConnected(record, fromIp, thirdCrashAtMs, atMs)
    ))
    if (late.length <= MAX_LATE_SENDS_COUNT) return []
    return [`${callerId}: sent to endpoints ${late.length} times more than ${POISON_KNOWN_MS} ms after the third crash; ${crashesAtMs.length} crashes in all`]
  })
}

function batchViolations (batch: ObservedBatch): string[] {
  if (batch.acceptedAtMs === undefined) return []
  const { batchId, atEnd, firstRead, itemIds, isEndedEarly } = batch
  if (!atEnd) return [`${batchId}: was accepted and cannot be read at the end`]
  const missing = isEndedEarly ? [] : itemIds.filter(itemId => !atEnd.some(item => item.itemId === itemId))
  const duplicates = atEnd.filter((item, position) => atEnd.findIndex(other => other.itemId === item.itemId) !== position)
  const changed = firstRead.filter((item, position) => JSON.stringify(item) !== JSON.stringify(atEnd[position]))
  return [
    ...missing.map(itemId => `${batchId}: ${itemId} was accepted and is not listed at the end`),
    ...duplicates.map(({ itemId }) => `${batchId}: ${itemId} is listed twice`),
    ...changed.map(({ itemId }) => `${batchId}: the result of ${itemId} has changed`),
    ...atEnd.flatMap(item => textViolations(batch, item))
  ]
}

function textViolations ({ batchId, minVersion }: ObservedBatch, { itemId, state, text, versions }: ObservedItem): string[] {
  if (state !== COMPLETED) return []
  const lines = text.split('\n')
  const generatedUnder = lines.map(line => Number(/:v(\d+)$/.exec(line)?.[1]))
  const expected = generatedUnder.map((version, index) => eventText(itemId, index + 1, version))
  if (lines.length !== eventsCountOf(itemId) || lines.join() !== expected.join()) return [`${batchId}: the text of ${itemId} is not its complete output`]
  const reported = [...versions].sort().join()
  const actual = [...new Set(generatedUnder)].sort().join()
  if (reported !== actual) return [`${batchId}: ${itemId} was generated under versions ${actual}, not ${reported}`]
  return generatedUnder.some(version => version < minVersion) ? [`${batchId}: ${itemId} has events under a version below ${minVersion}`] : []
}

function staleConfigurations (record: SoakRecord): string[] {
  const { configurations, probes, readBackVersion } = record
  const late = probes.filter(({ version, sentAtMs, status }) => {
    const confirmed = configurations.find(configuration => configuration.version >= version)
    if (!confirmed || status !== 404) return false
    return sentAtMs > confirmed.confirmedAtMs + APPLY_MS && isUndisturbed(record, confirmed.confirmedAtMs, sentAtMs)
  })
  const newest = Math.max(0, ...configurations.map(({ version }) => version))
  const isLost = newest > 0 && (readBackVersion === undefined || readBackVersion < newest)
  return [
    ...late.map(({ version, sentAtMs }) => `a host did not apply configuration ${version} by ${Math.round(sentAtMs)} ms, more than ${APPLY_MS} ms after it was confirmed`),
    ...(isLost ? [`configuration ${newest} was confirmed, ${readBackVersion ?? 'none'} was read back`] : [])
  ]
}
