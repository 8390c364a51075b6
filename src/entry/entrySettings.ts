/**
 * The settings of an entry host. Every limit has a default that suits a small
 * site; the lengths of leases must be the same on all entry hosts.
 */
import { z } from 'zod'
import { addressSchema } from '../utils/settings.js'

const KIB = 1024
const MIB = 1024 * KIB

const durationMs = z.int().min(1)
const count = z.int().min(1)
const bytes = z.int().min(1)

const limitsSchema = z.strictObject({
  /** A larger request body is refused before it is read. */
  maxBodyBytes: bytes.default(8 * MIB),
  /** A longer head is refused with status 431. */
  maxHeadBytes: bytes.default(16 * KIB),
  maxConnectionsCount: count.default(20_000),
  /** A caller that has not sent its whole head by then is cut off. */
  headTimeoutMs: durationMs.default(10_000),
  /** A caller that takes nothing of its answer for this long is cut off. */
  slowReaderTimeoutMs: durationMs.default(30_000),
  /** For callers that name no deadline. */
  defaultDeadlineMs: durationMs.default(60_000),
  /** A later deadline counts as this one. */
  maxDeadlineMs: durationMs.default(600_000),
  /** To open a connection to an endpoint. */
  connectTimeoutMs: durationMs.default(2_000),
  /** An engine that sends nothing for this long is given up. */
  engineSilenceMs: durationMs.default(30_000),
  /** How long an unrepeatable call may run when its caller no longer waits. */
  unrepeatableTimeoutMs: durationMs.default(120_000),
  /** A longer answer of an unrepeatable call is recorded without its body. */
  maxRecordedBodyBytes: bytes.default(64 * KIB),
  /** How long callers may keep an advice. */
  adviceValidMs: durationMs.default(5_000),
  /** An endpoint that is not heard of for this long leaves the directory. */
  endpointLeaseMs: durationMs.default(10_000),
  /** An entry host that is not heard of for this long leaves the advice. */
  hostLeaseMs: durationMs.default(6_000),
  /** What still runs then is cut off, so that a planned stop ends. */
  maxStopMs: durationMs.default(900_000)
})
export type EntryLimits = z.output<typeof limitsSchema>

export const entrySettingsSchema = z.strictObject({
  host: z.strictObject({
    hostId: z.string().min(1).max(64),
    dataCentre: z.string().min(1).max(64),
    /** Where callers, trainers and endpoints connect. */
    callerAddress: addressSchema,
    /** Where the system's own processes connect. */
    peerAddress: addressSchema,
    /** Where operators connect. */
    operatorAddress: addressSchema
  }),
  control: z.strictObject({
    peerAddresses: z.array(addressSchema).min(1)
  }),
  metrics: z.strictObject({ statsdAddress: addressSchema }).optional(),
  limits: limitsSchema.prefault({})
})
export type EntrySettings = z.output<typeof entrySettingsSchema>

export const defaultLimits: EntryLimits = limitsSchema.parse({})
