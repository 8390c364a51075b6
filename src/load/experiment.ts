/**
 * An experiment: what is sent, how often, to whom, and what goes wrong
 * meanwhile. Read from TOML; a mistake names file, key, value and expectation.
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
const notNegative = z.number().min(0)

const spikeSchema = z.strictObject({
  atMs: notNegative,
  durationMs: z.number().positive(),
  /** Times the base rate. */
  factor: z.number().positive()
})

const workloadBase = {
  name: z.string().min(1),
  /** Part of all requests, relative to the other workloads. */
  share: z.number().positive().default(1),
  /** One is drawn at random for each request. */
  callers: z.array(z.string()).min(1).default(['load']),
  priorityClass: z.string().optional(),
  /** How long the caller waits for the whole answer, tries included. */
  deadlineMs: z.number().positive().default(10_000),
  /** Tries of one request, the first included. */
  maxTriesCount: positiveCount.default(4)
}

const serviceWorkloadSchema = z.strictObject({
  kind: z.literal(WorkloadKind.Service),
  ...workloadBase,
  pool: z.string(),
  /** Each request goes to a path of its own below this one. */
  path: z.string().startsWith('/'),
  method: z.enum(['GET', 'POST']).default('POST'),
  bodyBytes: z.int().min(0).default(64),
  /** Sends an Idempotency-Key, the same on every try. */
  idempotencyKey: z.boolean().default(false)
})

const completionWorkloadSchema = z.strictObject({
  kind: z.literal(WorkloadKind.Completion),
  ...workloadBase,
  model: z.string(),
  stream: z.boolean().default(true),
  maxTokensCount: positiveCount.default(64),
  /** Prompts share this many different beginnings, so that prefix caches have work. */
  prefixesCount: positiveCount.default(8),
  promptBytes: positiveCount.default(256)
})

const workloadSchema = z.discriminatedUnion('kind', [serviceWorkloadSchema, completionWorkloadSchema])

const faultSchema = z.strictObject({
  atMs: notNegative,
  /** Name given by `--process NAME=PID`. */
  process: z.string(),
  signal: z.enum(FaultSignal)
})

const recordSchema = z.strictObject({
  /** GET: what the stand-in service itself counted, by path. */
  url: z.url(),
  pool: z.string()
})

export const experimentSchema = z.strictObject({
  name: z.string().min(1),
  /** Runs with the same seed send the same requests at the same moments. */
  seed: z.int().default(1),
  durationMs: z.number().positive(),
  /** Requests sent before this moment are left out of the figures. */
  warmUpMs: notNegative.default(0),
  dataCentre: z.string(),
  /** Entry hosts to ask for advice at first. */
  entryHosts: z.array(addressSchema).min(1),
  rate: z.strictObject({
    perSecond: z.number().positive(),
    spikes: z.array(spikeSchema).default([])
  }),
  /** Requests beyond this are counted as not sent, so that the tool stays up. */
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
