/**
 * Settings of a process of the fleet, in TOML: where the process runs, where it listens,
 * the seed control hosts, and the bounds of the deployment. The ports on which the
 * processes of the system reach each other are the same on all hosts and are
 * derived from the first port of a range.
 */
import { isDeepStrictEqual } from 'node:util'
import { z } from 'zod'
import { SettingsError } from '../utils/errors.js'
import { addressSchema, checkSettings, parseAddress, valueAt } from '../utils/settings.js'

/** The programs of the fleet. */
export type ProgramName = 'edge' | 'control' | 'store'

/** Offsets of the internal ports from the first one. */
enum InternalPort {
  ControlPeers = 0,
  ControlAdmin = 1,
  StorePeers = 2
}

const LAST_INTERNAL_PORT = InternalPort.StorePeers

const portSchema = z.int().min(1).max(65_535)

export const fleetHostSettingsSchema = z.strictObject({
  host: z.strictObject({
    name: z.string().min(1),
    ip: z.string().min(1),
    dataCentre: z.string().min(1),
    /** True only at the first start of the complete system. */
    isFirstStart: z.boolean(),
    dataFolder: z.string().min(1).optional(),
    /** Memory limit of each process on the host; a process that exceeds it is killed. */
    memoryMb: z.number().positive().optional(),
    /** The share of a core that the processes of the host get together. */
    processorShare: z.number().positive().optional(),
    /** How many times as fast as one core the shared core is. */
    processorSpeed: z.number().positive().optional(),
    /** Descriptors that each process may hold: files and connections. */
    maxDescriptorsCount: z.int().positive().optional(),
    /** Bandwidth of the host's network link. */
    linkMbps: z.number().positive().optional()
  }),
  listen: z.strictObject({
    callers: addressSchema.optional(),
    readiness: addressSchema.optional(),
    control: addressSchema.optional(),
    addresses: addressSchema.optional()
  }),
  cluster: z.strictObject({
    seedAddresses: z.array(addressSchema),
    /** The first and the last port; those between them belong to the system too. */
    internalPorts: z.tuple([portSchema, portSchema]).refine(([first, last]) => first + LAST_INTERNAL_PORT <= last, `must hold at least ${LAST_INTERNAL_PORT + 1} ports, the first port first`)
  }),
  /** Ports at which the programs serve their metrics; several programs may run on the same host. */
  metricsPorts: z.strictObject({ edge: portSchema, control: portSchema, store: portSchema }),
  bounds: z.strictObject({
    /** Heartbeat interval of endpoints. */
    heartbeatMs: z.number().positive().default(1_200),
    /** Number of hosts with a disk that may be lost at the same time. */
    toleratedLosses: z.int().min(0).default(1),
    /** Two hosts must not both send orders to an endpoint within this time. */
    orderLeaseMs: z.number().positive().default(3_000),
    /** A process that was asked to stop is killed after this time. */
    graceS: z.number().positive().default(8),
    /** How long after its submission the results of a batch can be read. */
    keepBatchesS: z.number().positive().default(120),
    /** Longest time that callers cache an answer about addresses, whatever validity it states. */
    maxAdviceAgeS: z.number().positive().default(5),
    /** An endpoint that leaves gets no new requests after this time. */
    drainMs: z.number().positive().default(2_000),
    /** Whether a host that is disconnected from the control hosts stops admitting keys, as any key may have been revoked. */
    isRevocationStrict: z.boolean().default(false),
    /** How long a disconnected host still admits the keys that it knows. */
    revokeMs: z.number().min(0).default(5_000),
    /** Length of the windows for which usage is reported. */
    usageWindowS: z.number().positive().default(5),
    /** Time after the end of a window at which its report is due. */
    usageLateS: z.number().positive().default(10)
  }),
  /** The infrastructure that receives the calls of duties, which one host at a time performs; absent where there is no infrastructure. */
  infrastructure: z.strictObject({
    address: addressSchema,
    /** Names of the duties in the deployment. */
    duties: z.array(z.string())
  }).optional(),
  /** The last table of the file: without it a file that is cut between two tables could not be told from a whole one, as all bounds have defaults. */
  end: z.strictObject({ isWhole: z.literal(true) }, 'the end of the settings is missing, so the file is cut short or still being written')
})
export type FleetHostSettings = z.infer<typeof fleetHostSettingsSchema>

/**
 * @param requiredKeys keys of optional settings that the program of this host needs
 * @throws SettingsError naming the file, the key, the value and the expectation.
 */
export function checkFleetHostSettings (path: string, text: string, requiredKeys: readonly string[]): FleetHostSettings {
  const settings = checkSettings(path, text, fleetHostSettingsSchema)
  const missing = requiredKeys.filter(key => valueAt(settings, key.split('.')) === undefined)
  if (missing.length > 0) throw new SettingsError(missing.map(key => `${path}: ${key}: missing, but required for this role`).join('\n'))
  return settings
}

/** Keys, as table.key, whose values differ. */
export function changedKeys (before: FleetHostSettings, after: FleetHostSettings): string[] {
  const tables = Object.keys(fleetHostSettingsSchema.shape)
  return tables.flatMap(table => {
    const [old, now] = [before, after].map(settings => (valueAt(settings, [table]) ?? {}) as Record<string, unknown>)
    const keys = new Set([...Object.keys(old ?? {}), ...Object.keys(now ?? {})])
    return [...keys].filter(key => !isDeepStrictEqual(old?.[key], now?.[key])).map(key => `${table}.${key}`)
  })
}

export interface InternalAddresses {
  /** Address of the control process for the other processes of the system. */
  controlPeers: string
  /** Address of the control process for the operator interface. */
  controlAdmin: string
  /** Address of the store process for its peers. */
  storePeers: string
}

/** The address at which a program on this host serves its metrics. */
export function metricsAddress ({ host, metricsPorts }: FleetHostSettings, program: ProgramName): string {
  return `${host.ip}:${metricsPorts[program]}`
}

/** The internal addresses of a host. */
export function internalAddresses (settings: FleetHostSettings, ip: string): InternalAddresses {
  const [firstPort] = settings.cluster.internalPorts
  const at = (offset: InternalPort): string => `${ip}:${firstPort + offset}`
  return {
    controlPeers: at(InternalPort.ControlPeers),
    controlAdmin: at(InternalPort.ControlAdmin),
    storePeers: at(InternalPort.StorePeers)
  }
}

/** Addresses of the control processes of the seeds, for the other processes of the system. */
export function seedPeerAddresses (settings: FleetHostSettings): string[] {
  return seedIps(settings).map(ip => internalAddresses(settings, ip).controlPeers)
}

/** IP addresses of the seeds. */
export function seedIps (settings: FleetHostSettings): string[] {
  return settings.cluster.seedAddresses.map(address => parseAddress(address).host)
}
