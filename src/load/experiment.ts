/**
 * Schema of an experiment file in TOML: workloads, arrival rate, entry hosts
 * and injected faults. Validation errors name file, key, value and expectation.
 */
import { z } from 'zod'
import { addressSchema } from '../utils/settings.js'

export enum WorkloadKind {
  Service = 'service',
  Completion = 'completion'
}

/** Signals that a fault may send. */
export enum FaultSignal {
  Kill = 'SIGKILL',
  Terminate = 'SIGTERM',
  Stop = 'SIGSTOP',
  Continue = 'SIGCONT'
}

const positiveCount = z.int().min(1)
const nonNegative = z.number().min(0)

const spikeSchema = z.strictObject({
  atMs: nonNegative,
  durationMs: z.number().positive(),
  /** Multiplier of the base rate. */
  factor: z.number().positive()
})

const workloadBase = {
  name: z.string().min(1),
  /** Share of all requests, relative to the other workloads. */
  share: z.number().positive().default(1),
  /** One entry is drawn at random for each request. */
  callers: z.array(z.string()).min(1).default(['load']),
  priorityClass: z.string().optional(),
  /** How long the caller waits for the complete answer, retries included. */
  deadlineMs: z.number().positive().default(10_000),
  /** Attempts per request, the first included. */
  maxTriesCount: positiveCount.default(4)
}

const serviceWorkloadSchema = z.strictObject({
  kind: z.literal(WorkloadKind.Service),
  ...workloadBase,
  pool: z.string(),
  /** Each request is sent to its own path below this path. */
  path: z.string().startsWith('/'),
  method: z.enum(['GET', 'POST']).default('POST'),
  bodyBytes: z.int().min(0).default(64),
  /** Sends an Idempotency-Key, the same on every attempt. */
  idempotencyKey: z.boolean().default(false)
})

const completionWorkloadSchema = z.strictObject({
  kind: z.literal(WorkloadKind.Completion),
  ...workloadBase,
  model: z.string(),
  stream: z.boolean().default(true),
  maxTokensCount: positiveCount.default(64),
  /** Number of distinct prompt prefixes; requests share them so that prefix caches get hits. */
  prefixesCount: positiveCount.default(8),
  promptBytes: positiveCount.default(256)
})

const workloadSchema = z.discriminatedUnion('kind', [serviceWorkloadSchema, completionWorkloadSchema])

const faultSchema = z.strictObject({
  atMs: nonNegative,
  /** Name that `--process NAME=PID` assigns to a process. */
  process: z.string(),
  signal: z.enum(FaultSignal)
})

const recordSchema = z.strictObject({
  /** A GET of this URL returns the executions that the stand-in service counted, by path. */
  url: z.url(),
  pool: z.string()
})

export const experimentSchema = z.strictObject({
  name: z.string().min(1),
  /** Runs with the same seed send the same requests at the same times. */
  seed: z.int().default(1),
  durationMs: z.number().positive(),
  /** Requests due before this time are excluded from the statistics. */
  warmUpMs: nonNegative.default(0),
  dataCentre: z.string(),
  /** Entry hosts that are queried for advice first. */
  entryHosts: z.array(addressSchema).min(1),
  rate: z.strictObject({
    perSecond: z.number().positive(),
    spikes: z.array(spikeSchema).default([])
  }),
  /** Requests above this limit are counted as not sent, which bounds the memory of the tool. */
  maxInFlightCount: positiveCount.default(10_000),
  workloads: z.array(workloadSchema).min(1),
  faults: z.array(faultSchema).default([]),
  records: z.array(recordSchema).default([])
})

export type Experiment = z.output<typeof experimentSchema>
export type Workload = z.output<typeof workloadSchema>
export type ServiceWorkload = Extract<Workload, { kind: WorkloadKind.Service }>
export type CompletionWorkload = Extract<Workload, { kind: WorkloadKind.Completion }>
export type Fault = Experiment['faults'][number]
