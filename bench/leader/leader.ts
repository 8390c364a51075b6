/**
 * Runs the measured leader: `leader.js IP REPLICAS ENGINES SECONDS FOLDER`.
 * Each of three trainers submits a step every four seconds. Prints a line of JSON
 * a second: processor time, the longest event loop delay, and the number of
 * results listed so far.
 */
import { monitorEventLoopDelay } from 'node:perf_hooks'
import { PlatformEndpointClient } from '../../platform/endpointClient.js'
import { BatchDispatcher } from '../../src/batches/batchDispatcher.js'
import { BatchAges } from '../../src/batches/batchTimes.js'
import { EndpointPool } from '../../src/endpoints/endpointPool.js'
import { RequestQuarantine } from '../../src/quarantine/requestQuarantine.js'
import { RequestForwarder } from '../../src/gateway/requestForwarder.js'
import { routeFinder } from '../../src/gateway/routeTable.js'
import { LocalExecutor } from '../../src/batches/localExecutor.js'
import { RunnerPool } from '../../src/batches/runnerPool.js'
import { reportTasksMethod } from '../../src/transport/runnerMethods.js'
import { BatchCommandKind } from '../../src/protocol/batches.js'
import { sleepUntil, systemClock } from '../../src/utils/clock.js'
import { silentLogger } from '../../src/utils/logger.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { Progress } from '../../src/utils/progress.js'
import { systemRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { Supervisor } from '../../src/utils/supervisor.js'
import { submission } from '../../tests/fixtures/fleet/batchFixtures.js'
import { DATA_CENTRE } from '../../tests/fixtures/fleet/fleetFixtures.js'
import { CONTROL_SOURCE, fleetViewOf, MODELS, TOKENS_PER_EVENT } from './fleet.js'
import { membersOf, startStoreReplica } from './storeReplica.js'

const STEP_INTERVAL_S = 4
const ITEMS_COUNTS = [144, 112, 128]
const KEEP_MS = 120_000
const POLL_MS = 20
const ANNOUNCE_TIMEOUT_MS = 1_000
/** Control hosts, each of which reports every engine once per heartbeat interval. */
const CONTROL_HOSTS_COUNT = 8
const HEARTBEAT_MS = 1_200

const [ip = '127.0.0.1', replicasText = '3', enginesText = '31', secondsText = '12', folder = ''] = process.argv.slice(2)
const scope = new Scope('leader')
const supervisor = new Supervisor(scope, (_task, error) => { throw error })
const members = membersOf(ip, Number(replicasText))
const { replica, state, handlers } = await startStoreReplica(members, 0, folder, supervisor)
while (!replica.leadership?.mayChangeMembers()) await sleepUntil(systemClock, scope, systemClock.nowMs() + POLL_MS)

const { view, update } = fleetViewOf(ip, Number(enginesText), members)
const heartbeats = setInterval(() => view.merge(CONTROL_SOURCE, update), HEARTBEAT_MS / CONTROL_HOSTS_COUNT)

const random = systemRandom()
const metrics = memoryMetrics()
const client = new PlatformEndpointClient(systemClock, metrics)
const pool = new EndpointPool({ view, clock: systemClock, random, dataCentre: DATA_CENTRE, logger: silentLogger, metrics })
const quarantine = new RequestQuarantine({ view, clock: systemClock, client, supervisor, logger: silentLogger, metrics, submit: async () => true })
const forwarder = new RequestForwarder({ view, pool, client, quarantine, random, logger: silentLogger, metrics })
const routeOf = routeFinder(view)
const isOverloaded = (): boolean => dispatcher.isOverloaded
const local = new LocalExecutor({ clock: systemClock, metrics, client, forwarder, routeOf, isOverloaded })
const { hostId, peerAddress } = members[0]!
const executor = new RunnerPool({
  clock: systemClock, logger: silentLogger, metrics, view, links: replica.links, local, hostId, dataCentre: DATA_CENTRE, peerAddress, term: replica.core.term, scope, holdsLease: () => true, isOverloaded
})
handlers.on(reportTasksMethod, ({ term: _term, ...report }) => ({ kind: 'received' as const, unknownTaskIds: executor.receive(report) }))
supervisor.spawn('runners', taskScope => executor.watch(taskScope))
const dispatcher: BatchDispatcher = new BatchDispatcher({ clock: systemClock, random, logger: silentLogger, metrics, executor, routeOf, quarantine, pool, view, replica, state, ages: new BatchAges(systemClock), supervisor })
await executor.announce(new Progress(systemClock, scope, systemClock.nowMs() + ANNOUNCE_TIMEOUT_MS))
supervisor.spawn('dispatch', taskScope => dispatcher.run(taskScope))

async function submitStep (step: number): Promise<void> {
  for (const [position, model] of MODELS.entries()) {
    const itemIds = Array.from({ length: ITEMS_COUNTS[position] ?? 0 }, (_value, item) => `s${step}-${model}-${item}`)
    const batch = submission(`s${step}-${model}`, itemIds, { model, step, expectedTokensCount: 18 * TOKENS_PER_EVENT })
    for (const item of batch.items) item.model = model
    const progress = new Progress(systemClock, scope, systemClock.nowMs() + 5_000)
    const outcome = await replica.propose({ kind: BatchCommandKind.Submit, submission: batch, keepMs: KEEP_MS }, progress)
    if (outcome.kind !== 'committed') throw new Error(`${batch.batchId}: ${outcome.kind}`)
  }
}

const delays = monitorEventLoopDelay({ resolution: 5 })
delays.enable()
let cpu = process.cpuUsage()
for (let second = 0; second < Number(secondsText); second++) {
  if (second % STEP_INTERVAL_S === 0) submitStep(second / STEP_INTERVAL_S).catch(error => { throw error })
  await sleepUntil(systemClock, scope, systemClock.nowMs() + 1_000)
  const used = process.cpuUsage(cpu)
  cpu = process.cpuUsage()
  const listedCount = state.open().reduce((sum, batch) => sum + batch.results.length, 0)
  const report = { cpuMs: Math.round((used.user + used.system) / 1_000), heldUpMs: Math.round(delays.max / 1e6), listedCount }
  process.stdout.write(`${JSON.stringify(report)}
`)
  delays.reset()
}
clearInterval(heartbeats)
process.exit(0)
