/**
 * Failures and restarts at the target size, in messages and seconds. The
 * seconds come from the timers of the programs, the leader's processor time
 * from measured slopes.
 */
import { CONFIGURATION_LEASE_MS } from '../../src/control/hosts/leaseTable.js'
import { HOST_SILENCE_TIMEOUT_MS } from '../../src/control/hosts/silentHostRemoval.js'
import { MAX_KEYS_COUNT, UNREPEATABLE_RETENTION_MS } from '../../src/control/ledgers/unrepeatableLedger.js'
import { defaultTimings } from '../../src/replication/log/timings.js'
import { defaultLimits } from '../../src/entry/entrySettings.js'
import { unrepeatablePerSecond } from './rows.js'
import type { SlopeBook } from './slopeBook.js'
import { assumed, hostsPerDataCentre, target } from './target.js'

const MS_PER_SECOND = 1_000
const CHANGES_PER_RESTART = 2

function seconds (ms: number): string {
  return `${(ms / MS_PER_SECOND).toFixed(1)} s`
}

/** Number of pushed notifications and of connection handshakes when hosts leave and rejoin. */
function restartMessages (hostsCount: number): { pushes: number, hellos: number } {
  const connections = hostsPerDataCentre - 1 + target.dataCentres - 1
  return { pushes: hostsCount * CHANGES_PER_RESTART * target.entryHosts, hellos: Math.round(hostsCount * connections * 2) }
}

function leaderProcessorMs (book: SlopeBook, hostsCount: number): number | undefined {
  const changeUs = book.at('control.changeLeaderUs', target.entryHosts)
  return changeUs === undefined ? undefined : hostsCount * changeUs / MS_PER_SECOND
}

function row (what: string, book: SlopeBook, hostsCount: number, consequence: string): string {
  const { pushes, hellos } = restartMessages(hostsCount)
  const ms = leaderProcessorMs(book, hostsCount)
  const busy = ms === undefined ? 'not measured' : seconds(ms)
  return `| ${what} | ${hostsCount} | ${pushes.toLocaleString('en')} | ${hellos.toLocaleString('en')} | ${busy} | ${consequence} |`
}

export function eventsSection (book: SlopeBook): string {
  const { hostLeaseMs, endpointLeaseMs, adviceValidMs } = defaultLimits
  const { electionMinMs, electionMaxMs } = defaultTimings
  const swapSeconds = book.at('weights.poolSwapSeconds', target.engines)
  const keysSeconds = MAX_KEYS_COUNT / unrepeatablePerSecond
  const keysPerSecond = MAX_KEYS_COUNT / (UNREPEATABLE_RETENTION_MS / MS_PER_SECOND)
  return `## Failures and restarts

Pushes are notifications from the leader (a removal and a registration, each to ${target.entryHosts} hosts); hellos are the handshakes with
which hosts reconnect to each other. The leader's time is \`control.changeLeaderUs\` at ${target.entryHosts} hosts.

| event | hosts | pushes | hellos | leader's processor time | effect on callers, from the programs' timers |
| --- | --- | --- | --- | --- | --- |
${row('6 hosts fail in a day', book, target.failedHostsPerDay, `a failed host is no longer advised after ${seconds(hostLeaseMs)}, callers that cached the advice use other hosts after ${seconds(adviceValidMs)} at most; the host is removed from the configuration after ${seconds(HOST_SILENCE_TIMEOUT_MS)}`)}
${row('110 hosts are restarted in a day', book, target.restartedHostsPerDay, `each is no longer advised first, and stops after ${seconds(adviceValidMs)} or its last answer`)}
${row('a rack fails', book, assumed.rackHosts, `as for six hosts, all at once; endpoints in the rack are removed after ${seconds(endpointLeaseMs)}`)}
${row('a data centre fails', book, Math.round(hostsPerDataCentre), `${Math.round(target.engines / target.dataCentres)} engines are removed after ${seconds(endpointLeaseMs)}; if the leader was there, a new one is elected after a time-out of ${seconds(electionMinMs)} to ${seconds(electionMaxMs)} and the votes`)}

Network partition between regions: the side without a quorum loses its configuration leases after ${seconds(CONFIGURATION_LEASE_MS)} and refuses new work as "not run"
until the partition heals. At the target size that affects half of the system for minutes, several times a year.

- New weights on ${target.engines} engines: ${swapSeconds === undefined ? 'not measured' : `${swapSeconds.toFixed(1)} s`} with a store whose bandwidth just suffices to serve all of them in ${target.weightsEverywhereSeconds} s (\`weights.poolSwapSeconds\`).
- Unrepeatable requests: the ledger keeps ${MAX_KEYS_COUNT.toLocaleString('en')} keys for ${UNREPEATABLE_RETENTION_MS / 3_600_000} hours, which sustains ${keysPerSecond.toFixed(2)} a second.
  With ${(assumed.unrepeatablePart * 100).toFixed(0)}% of ${target.requestsPerSecond} requests a second it is full after ${(keysSeconds / 60).toFixed(0)} minutes and refuses new keys from then on.`
}
