/**
 * Entry point of the child processes of slope measurements: `child.js KIND SIZE …`,
 * or `child.js KIND OPTIONS` with the options as JSON. Sends readings to its parent.
 */
import { announceAll, type AnnouncerOptions } from './announcers.js'
import { runControl, type ControlHostOptions } from './controlHosts.js'
import { openConnections, serveConnections } from './connections.js'
import { runEntry } from './entryHost.js'
import { runFleetControl, type FleetControlOptions } from './fleetFollowers.js'
import { runPacedEndpoint, type PacedEndpointOptions } from './paceEndpoint.js'

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
    announceAll(JSON.parse(size) as AnnouncerOptions)
    break
  case 'control':
    await runControl(JSON.parse(size) as ControlHostOptions)
    break
  case 'fleetControl':
    await runFleetControl(JSON.parse(size) as FleetControlOptions)
    break
  case 'entry':
    await runEntry()
    break
  case 'endpoint':
    await runPacedEndpoint(JSON.parse(size) as PacedEndpointOptions)
    break
  default:
    throw new Error(`unknown kind ${kind}`)
}
