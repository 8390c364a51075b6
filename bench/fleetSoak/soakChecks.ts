/**
 * The promises that a run of the fleet's soak holds the system to, decided from
 * its record alone. Those that are bounded in time are judged where nothing was
 * disturbed from a while before until the moment in question.
 */
import { answerTo, CallKind, DEADLY_ID, eventsCountOf, eventText, type BatchSeen, type ItemSeen, type SoakRecord } from './soakRecord.js'

/** Nothing is sent to an endpoint this long after its leave was confirmed. */
export const DRAIN_MS = 2_000
/** A confirmed configuration is in force everywhere by then. */
export const APPLY_MS = 2_500
/** What a disturbance leaves behind is over by then: elections, connections that are made anew. */
export const CONTACT_MS = 4_000

const COMPLETED = 'completed'
/** Statuses that say that the request has not run and will not. */
const NOT_RUN = [408, 421, 429, 503]

/** One line for each promise that was broken, with what broke it. */
export function findViolations (record: SoakRecord): string[] {
  return [
    ...foreignAnswers(record),
    ...repeatedRuns(record),
    ...falseRefusals(record),
    ...lateRequests(record),
    ...deadlyRequests(record),
    ...record.batches.flatMap(batchViolations),
    ...staleConfigurations(record),
    ...record.ownEnds.map(end => `ended by itself: ${end}`)
  ]
}

function foreignAnswers ({ calls }: SoakRecord): string[] {
  const successes = calls.filter(({ status }) => status === 200)
  return successes.flatMap(({ attemptId, body, hasReceipt }) => {
    if (!hasReceipt) return [`${attemptId}: a success without a receipt`]
    return body === answerTo(attemptId) ? [] : [`${attemptId}: another's answer or part of one: "${body.slice(0, 60)}"`]
  })
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
    const isRefused = status !== undefined && NOT_RUN.includes(status)
    return isRefused && runs.has(attemptId) ? [`${attemptId}: ${status} says that it has not run, and it has`] : []
  })
}

function isQuiet ({ disturbances }: SoakRecord, fromMs: number, untilMs: number): boolean {
  return disturbances.every(disturbance => disturbance.untilMs + CONTACT_MS < fromMs || disturbance.fromMs > untilMs)
}

/**
 * Whether a host must know of what was confirmed: it was not hit itself from a
 * while before until the moment in question, and no control host was hit after
 * the confirmation. One that was hit before does not count: the others confirm.
 */
function isInTouch ({ disturbances }: SoakRecord, ip: string, confirmedAtMs: number, atMs: number): boolean {
  return disturbances.every(({ targetIps, hitsControl, fromMs, untilMs }) => {
    const hitsHost = targetIps.includes(ip) && untilMs + CONTACT_MS >= confirmedAtMs && fromMs <= atMs
    const hitsLater = hitsControl && fromMs >= confirmedAtMs && fromMs <= atMs
    return !hitsHost && !hitsLater
  })
}

function lateRequests (record: SoakRecord): string[] {
  return record.leaves.flatMap(({ endpointName, confirmedAtMs }) => (
    record.arrivals
      .filter(({ endpointName: at, atMs }) => at === endpointName && atMs > confirmedAtMs + DRAIN_MS)
      .filter(({ fromIp, atMs }) => isInTouch(record, fromIp, confirmedAtMs, atMs))
      .map(({ attemptId, fromIp, atMs }) => `${attemptId}: reached ${endpointName} from ${fromIp} ${Math.round(atMs - confirmedAtMs)} ms after its leave was confirmed`)
  ))
}

/** What a caller's request did to endpoints must be known everywhere within this time. */
export const DEADLY_KNOWN_MS = 3_000
const CONDEMNING_ENDS_COUNT = 3
const MAX_LATE_SENDS_COUNT = 3

function deadlyRequests (record: SoakRecord): string[] {
  const callerIds = [...new Set(record.ends.map(({ callerId }) => callerId))]
  return callerIds.flatMap(callerId => {
    const endsAtMs = record.ends.filter(end => end.callerId === callerId).map(({ atMs }) => atMs).sort((left, right) => left - right)
    const thirdMs = endsAtMs[CONDEMNING_ENDS_COUNT - 1]
    if (thirdMs === undefined) return []
    const late = record.arrivals.filter(({ attemptId, fromIp, atMs }) => (
      DEADLY_ID.exec(attemptId)?.[1] === callerId && atMs > thirdMs + DEADLY_KNOWN_MS && isInTouch(record, fromIp, thirdMs, atMs)
    ))
    if (late.length <= MAX_LATE_SENDS_COUNT) return []
    return [`${callerId}: sent to endpoints ${late.length} times later than ${DEADLY_KNOWN_MS} ms after the third had ended; ${endsAtMs.length} ended`]
  })
}

function batchViolations (batch: BatchSeen): string[] {
  if (batch.acceptedAtMs === undefined) return []
  const { batchId, atEnd, firstRead, itemIds, isEndedEarly } = batch
  if (!atEnd) return [`${batchId}: was accepted and cannot be read at the end`]
  const missing = isEndedEarly ? [] : itemIds.filter(itemId => !atEnd.some(item => item.itemId === itemId))
  const twice = atEnd.filter((item, position) => atEnd.findIndex(other => other.itemId === item.itemId) !== position)
  const changed = firstRead.filter((item, position) => JSON.stringify(item) !== JSON.stringify(atEnd[position]))
  return [
    ...missing.map(itemId => `${batchId}: ${itemId} was accepted and is not listed at the end`),
    ...twice.map(({ itemId }) => `${batchId}: ${itemId} is listed twice`),
    ...changed.map(({ itemId }) => `${batchId}: the result of ${itemId} has changed`),
    ...atEnd.flatMap(item => textViolations(batch, item))
  ]
}

function textViolations ({ batchId, minVersion }: BatchSeen, { itemId, state, text, versions }: ItemSeen): string[] {
  if (state !== COMPLETED) return []
  const lines = text.split('\n')
  const made = lines.map(line => Number(/:v(\d+)$/.exec(line)?.[1]))
  const expected = made.map((version, index) => eventText(itemId, index + 1, version))
  if (lines.length !== eventsCountOf(itemId) || lines.join() !== expected.join()) return [`${batchId}: the text of ${itemId} is not its whole output`]
  const told = [...versions].sort().join()
  const true_ = [...new Set(made)].sort().join()
  if (told !== true_) return [`${batchId}: ${itemId} was made under versions ${true_}, not ${told}`]
  return made.some(version => version < minVersion) ? [`${batchId}: ${itemId} has events under a version below ${minVersion}`] : []
}

function staleConfigurations (record: SoakRecord): string[] {
  const { configurations, probes, readBackVersion } = record
  const late = probes.filter(({ version, sentAtMs, status }) => {
    const confirmed = configurations.find(configuration => configuration.version >= version)
    if (!confirmed || status !== 404) return false
    return sentAtMs > confirmed.confirmedAtMs + APPLY_MS && isQuiet(record, confirmed.confirmedAtMs, sentAtMs)
  })
  const newest = Math.max(0, ...configurations.map(({ version }) => version))
  const isLost = newest > 0 && (readBackVersion === undefined || readBackVersion < newest)
  return [
    ...late.map(({ version, sentAtMs }) => `a host knew no configuration ${version} at ${Math.round(sentAtMs)} ms, after it was to be in force`),
    ...(isLost ? [`configuration ${newest} was confirmed, ${readBackVersion ?? 'none'} was read back`] : [])
  ]
}
