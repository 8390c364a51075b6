/**
 * Runs the followers of the measured leader, which also run items for it:
 * `followers.js IP COUNT ENGINES FOLDER`.
 */
import { PlatformEndpointClient } from '../../platform/endpointClient.js'
import { LocalExecutor } from '../../src/batches/localExecutor.js'
import { RunnerService } from '../../src/batches/runnerService.js'
import { EndpointPool } from '../../src/endpoints/endpointPool.js'
import { RequestForwarder } from '../../src/gateway/requestForwarder.js'
import { routeFinder } from '../../src/gateway/routeTable.js'
import { systemClock } from '../../src/utils/clock.js'
import { silentLogger } from '../../src/utils/logger.js'
import { memoryMetrics } from '../../src/utils/metrics.js'
import { systemRandom } from '../../src/utils/randomSource.js'
import { Scope } from '../../src/utils/scope.js'
import { Supervisor } from '../../src/utils/supervisor.js'
import { DATA_CENTRE } from '../../tests/fixtures/fleet/fleetFixtures.js'
import { quarantineOf } from '../../tests/fixtures/fleet/quarantineFixtures.js'
import { fleetViewOf } from './fleet.js'
import { membersOf, startStoreReplica } from './storeReplica.js'

const [ip = '127.0.0.1', countText = '3', enginesText = '31', folder = ''] = process.argv.slice(2)
const members = membersOf(ip, Number(countText))
const onFatal = (error: unknown): void => { throw error }
const supervisor = new Supervisor(new Scope('followers'), (_task, error) => onFatal(error))
const { view } = fleetViewOf(ip, Number(enginesText), members)
const random = systemRandom()
const metrics = memoryMetrics()
const client = new PlatformEndpointClient(systemClock, metrics)
const pool = new EndpointPool({ view, clock: systemClock, random, dataCentre: DATA_CENTRE, logger: silentLogger, metrics })
const forwarder = new RequestForwarder({ view, pool, client, quarantine: quarantineOf(view, systemClock, client), random, logger: silentLogger, metrics })
const executor = new LocalExecutor({ clock: systemClock, metrics, client, forwarder, routeOf: routeFinder(view), isOverloaded: () => false })
for (let position = 1; position < members.length; position++) {
  const { replica, handlers } = await startStoreReplica(members, position, folder, supervisor)
  const { hostId } = members[position]!
  new RunnerService({ clock: systemClock, logger: silentLogger, supervisor, links: replica.links, executor, hostId, incarnationId: hostId }).serve(handlers)
}
process.stdout.write('listening\n')
process.on('disconnect', () => process.exit(0))
