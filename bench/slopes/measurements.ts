/**
 * All slopes. A file is added here when the module it measures has landed.
 */
import { connectionSlopes } from './connections.js'
import { controlSlopes } from './controlHosts.js'
import { directorySlopes } from './directory.js'
import { ledgerSlopes } from './ledgers.js'
import { schedulingSlopes } from './scheduling.js'
import { weightSlopes } from './weights.js'
import type { SlopeMeasurement } from './slope.js'

export const measurements: SlopeMeasurement[] = [...connectionSlopes, ...controlSlopes, ...directorySlopes, ...schedulingSlopes, ...ledgerSlopes, ...weightSlopes]
