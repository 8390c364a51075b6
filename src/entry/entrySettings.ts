/**
 * The settings of an entry host. Every limit has a default suitable for a
 * small site. The lease durations must be the same on all entry hosts.
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
  /** A larger request header block is refused with status 431. */
  maxHeadBytes: bytes.default(16 * KIB),
  maxConnectionsCount: count.default(20_000),
  /** The connection of a caller that has not sent all request headers within this time is closed. */
  headTimeoutMs: durationMs.default(10_000),
  /** The connection of a caller that reads nothing of its response for this long is closed. */
  slowReaderTimeoutMs: durationMs.default(30_000),
  /** Deadline of requests that name no deadline. */
  defaultDeadlineMs: durationMs.default(60_000),
  /** Longer deadlines are reduced to this time. */
  maxDeadlineMs: durationMs.default(600_000),
  /** Time limit for opening a connection to an endpoint. */
  connectTimeoutMs: durationMs.default(2_000),
  /** Inactivity timeout of an engine's response; the attempt fails afterwards. */
  engineSilenceMs: durationMs.default(30_000),
  /** How long an unrepeatable call may run, even if its caller no longer waits. */
  unrepeatableTimeoutMs: durationMs.default(120_000),
  /** The response of an unrepeatable call is recorded without its body if the body is larger. */
  maxRecordedBodyBytes: bytes.default(64 * KIB),
  /** How long callers may cache advice. */
  adviceValidMs: durationMs.default(5_000),
  /** An endpoint without an announcement for this long is removed from the directory. */
  endpointLeaseMs: durationMs.default(10_000),
  /** An entry host without an update for this long is removed from advice. */
  hostLeaseMs: durationMs.default(6_000),
  /** Time limit of a planned stop; requests still running after this time are aborted. */
  maxStopMs: durationMs.default(900_000)
})
export type EntryLimits = z.output<typeof limitsSchema>

export const entrySettingsSchema = z.strictObject({
  host: z.strictObject({
    hostId: z.string().min(1).max(64),
    dataCentre: z.string().min(1).max(64),
    /** Where callers, trainers and endpoints connect. */
    callerAddress: addressSchema,
    /** Where other processes of the system connect. */
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
