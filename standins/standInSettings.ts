/** Schemas of the TOML settings of the stand-ins. */
import { z } from 'zod'
import { addressSchema } from '../src/utils/settings.js'

const announced = {
  /** `ip:port` to listen on. */
  listenAddress: addressSchema,
  /** Entry hosts that receive the first announcement. */
  entryHosts: z.array(addressSchema).min(1),
  endpointId: z.string().min(1),
  pool: z.string(),
  dataCentre: z.string(),
  announceIntervalMs: z.number().positive().default(500),
  /** Minimum age of an announced load reading. */
  loadLagMs: z.number().min(0).default(250),
  maxConcurrentCount: z.int().min(1).default(8)
}

export const engineSettingsSchema = z.strictObject({
  ...announced,
  model: z.string().default('practice-lm'),
  weightVersion: z.int().min(0).default(0),
  checksFencing: z.boolean().default(true),
  roundMs: z.number().positive().default(10),
  perSequenceMs: z.number().min(0).default(0.5),
  tokensPerRound: z.int().min(1).default(2),
  prefillCharsPerRound: z.int().min(1).default(2_000),
  cacheBlocksCount: z.int().min(1).default(1_000),
  meanTokensCount: z.number().positive().default(40),
  /** How long generation is paused while weights are swapped. */
  swapMs: z.number().min(0).default(50),
  /** File to which the generation record is written, so that it survives a crash. */
  recordFile: z.string().optional()
})
export type EngineSettings = z.output<typeof engineSettingsSchema>

export const serviceSettingsSchema = z.strictObject({
  ...announced,
  serviceMs: z.number().min(0).default(5)
})
export type ServiceSettings = z.output<typeof serviceSettingsSchema>

export const weightStoreSettingsSchema = z.strictObject({
  listenAddress: addressSchema,
  /** Rate limit shared by all transfers. */
  bytesPerSecond: z.number().positive().default(50_000_000),
  weightBytes: z.int().min(1).default(2_000_000)
})
export type WeightStoreSettings = z.output<typeof weightStoreSettingsSchema>

export const trainerSettingsSchema = z.strictObject({
  listenAddress: addressSchema,
  entryHosts: z.array(addressSchema).min(1),
  job: z.string(),
  dataCentre: z.string().default(''),
  weightStoreUrl: z.string(),
  stepsCount: z.int().min(1).default(3),
  /** Samples per step, over all groups. */
  samplesPerStepCount: z.int().min(1),
  stalenessBoundVersions: z.int().min(0),
  /** Simulated training time between two steps. */
  trainMs: z.number().min(0).default(200),
  maxSamplesPerPullCount: z.int().min(1).default(512)
})
export type TrainerSettings = z.output<typeof trainerSettingsSchema>
