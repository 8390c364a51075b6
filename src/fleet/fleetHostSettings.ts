/**
 * Settings of a process of the fleet, in TOML: where it runs, where it listens,
 * the control hosts to begin with, and the bounds of the deployment. The ports
 * on which the system's own processes reach each other are the same on all
 * hosts, and follow from the first of a range.
 */
import { z } from 'zod'
import { addressSchema, parseAddress } from '../utils/settings.js'

/** The programs that run on the platform. */
export type ProgramName = 'edge' | 'control' | 'store'

const portSchema = z.int().min(1).max(65_535)

export const fleetHostSettingsSchema = z.strictObject({
  host: z.strictObject({
    name: z.string().min(1),
    ip: z.string().min(1),
    dataCentre: z.string().min(1),
    /** True only at the first start of the whole system. */
    isFirstStart: z.boolean(),
    dataFolder: z.string().min(1).optional(),
    /** Memory that the host allows each process; one that passes it is ended. */
    memoryMb: z.number().positive().optional()
  }),
  listen: z.strictObject({
    callers: addressSchema.optional(),
    readiness: addressSchema.optional(),
    control: addressSchema.optional(),
    addresses: addressSchema.optional()
  }),
  cluster: z.strictObject({
    seedAddresses: z.array(addressSchema),
    internalPorts: z.tuple([z.int().min(1), z.int().max(65_535)])
  }),
  /** Ports at which the programs serve their metrics; two of them may share a host. */
  metricsPorts: z.strictObject({ edge: portSchema, control: portSchema, store: portSchema }),
  bounds: z.strictObject({
    /** Interval at which endpoints announce themselves. */
    heartbeatMs: z.number().positive().default(1_200),
    /** Hosts with a disk that may be lost at once. */
    toleratedLosses: z.int().min(0).default(1),
    /** Two hosts may not both order an endpoint within this time. */
    orderLeaseMs: z.number().positive().default(3_000),
    /** A process that was told to stop is killed after this. */
    graceS: z.number().positive().default(8),
    /** Results can be read for so long after their batch was sent. */
    keepBatchesS: z.number().positive().default(120),
    /** Callers keep an answer about addresses no longer than this, whatever it says. */
    maxAdviceAgeS: z.number().positive().default(5),
    /** An endpoint that leaves gets nothing new after this. */
    drainMs: z.number().positive().default(2_000),
    /** A host that is out of touch admits no key any more, rather than one that may have been taken away. */
    isRevocationStrict: z.boolean().default(false),
    /** For how long such a host still admits the keys that it knows. */
    revokeMs: z.number().min(0).default(5_000),
    /** Use is reported for each window of this length. */
    usageWindowS: z.number().positive().default(5),
    /** After the end of a window its report is due. */
    usageLateS: z.number().positive().default(10)
  }),
  /** Where the infrastructure takes calls that are the duty of one host at a time; absent where there are none. */
  infrastructure: z.strictObject({
    address: addressSchema,
    /** As the deployment calls them. */
    duties: z.array(z.string())
  }).optional()
})
export type FleetHostSettings = z.infer<typeof fleetHostSettingsSchema>

/** Which of the internal ports serves what. */
enum InternalPort {
  ControlPeers = 0,
  ControlAdmin = 1,
  StorePeers = 2
}

export interface InternalAddresses {
  /** Of the control process, for the other processes of the system. */
  controlPeers: string
  /** Of the control process, for the project's own operators' interface. */
  controlAdmin: string
  /** Of the store process. */
  storePeers: string
}

/** Where a program of this host serves its metrics. */
export function metricsAddress ({ host, metricsPorts }: FleetHostSettings, program: ProgramName): string {
  return `${host.ip}:${metricsPorts[program]}`
}

/** Internal addresses at a host. */
export function internalAddresses (settings: FleetHostSettings, ip: string): InternalAddresses {
  const [firstPort] = settings.cluster.internalPorts
  const at = (offset: InternalPort): string => `${ip}:${firstPort + offset}`
  return {
    controlPeers: at(InternalPort.ControlPeers),
    controlAdmin: at(InternalPort.ControlAdmin),
    storePeers: at(InternalPort.StorePeers)
  }
}

/** Where the seeds take calls of the system's own processes. */
export function seedPeerAddresses (settings: FleetHostSettings): string[] {
  return seedIps(settings).map(ip => internalAddresses(settings, ip).controlPeers)
}

/** IP numbers of the seeds. */
export function seedIps (settings: FleetHostSettings): string[] {
  return settings.cluster.seedAddresses.map(address => parseAddress(address).host)
}
