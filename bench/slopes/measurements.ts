/**
 * Lists all slope measurements.
 */
import { connectionSlopes } from './connections.js'
import { commitSlopes } from './commits.js'
import { controlSlopes } from './controlHosts.js'
import { directorySlopes } from './directory.js'
import { entrySlopes } from './entryHost.js'
import { fleetSlopes } from './fleetFollowers.js'
import { knownEndpointSlopes } from './knownEndpoints.js'
import { ledgerSlopes } from './ledgers.js'
import { schedulingSlopes } from './scheduling.js'
import { weightSlopes } from './weights.js'
import type { SlopeMeasurement } from './slope.js'

export const measurements: SlopeMeasurement[] = [
  ...connectionSlopes,
  ...controlSlopes,
  ...commitSlopes,
  ...directorySlopes,
  ...fleetSlopes,
  ...knownEndpointSlopes,
  ...entrySlopes,
  ...schedulingSlopes,
  ...ledgerSlopes,
  ...weightSlopes
]
