/**
 * The processes that slopes need besides their own: `child.js KIND SIZE …`
 * sends its reading to its parent.
 */
import { announceAll, type AnnouncerOrder } from './announcers.js'
import { runControl, type ControlOrder } from './controlHosts.js'
import { openConnections, serveConnections } from './connections.js'
import { runEntry } from './entryHost.js'
import { runFleetControl, type FleetControlOrder } from './fleetFollowers.js'
import { runEndpoint, type EndpointOrder } from './paceEndpoint.js'

const [kind = '', size = '0', argument = ''] = process.argv.slice(2)

process.once('SIGTERM', () => process.exit(0))
process.once('disconnect', () => process.exit(0))

switch (kind) {
  case 'serve':
    process.send?.(await serveConnections(argument, Number(size)))
    break
  case 'connect':
    await openConnections(Number(size), argument)
    break
  case 'announce':
    announceAll(JSON.parse(size) as AnnouncerOrder)
    break
  case 'control':
    await runControl(JSON.parse(size) as ControlOrder)
    break
  case 'fleetControl':
    await runFleetControl(JSON.parse(size) as FleetControlOrder)
    break
  case 'entry':
    await runEntry()
    break
  case 'endpoint':
    await runEndpoint(JSON.parse(size) as EndpointOrder)
    break
  default:
    throw new Error(`unknown kind ${kind}`)
}
