/**
 * The areas of the benchmark harness, by name.
 */
import type { BenchRun } from './benchResult.js'
import { run as control } from './control.js'
import { run as entryOverhead } from './entryOverhead.js'
import { run as leader } from './leader.js'
import { run as quarantine } from './quarantine.js'
import { run as requests } from './requests.js'
import { run as rollouts } from './rollouts.js'
import { run as transport } from './transport.js'

export const areas: Record<string, BenchRun> = { control, entryOverhead, leader, quarantine, requests, rollouts, transport }
