/**
 * The mix of requests: three priority classes, prompts that share system
 * prefixes of skewed popularity, and rollout groups whose samples share the
 * entire prompt.
 */
import type { RandomSource } from '../../src/utils/randomSource.js'
import type { EngineJob, PrefixPart } from './standInEngine.js'

export interface ClassLoad {
  name: string
  paidWeight: number
  minSharePercent: number
  /** Fraction of the offered tokens. */
  offeredShare: number
  medianTokensCount: number
  /** Sigma of the lognormal distribution of output lengths. */
  sigma: number
  deadlineMs: number
  groupSizeCount: number
}

export const classLoads: ClassLoad[] = [
  { name: 'gold', paidWeight: 10, minSharePercent: 5, offeredShare: 0.3, medianTokensCount: 50, sigma: 0.5, deadlineMs: 3_000, groupSizeCount: 1 },
  { name: 'silver', paidWeight: 4, minSharePercent: 5, offeredShare: 0.3, medianTokensCount: 90, sigma: 0.6, deadlineMs: 8_000, groupSizeCount: 1 },
  { name: 'bronze', paidWeight: 1, minSharePercent: 10, offeredShare: 0.4, medianTokensCount: 120, sigma: 0.8, deadlineMs: 60_000, groupSizeCount: 8 }
]

export interface SimulatedRequest {
  load: ClassLoad
  job: EngineJob
  affinityText: string
  groupKey: string | undefined
  /** The estimate that the scheduler receives; the job has the actual length. */
  expectedTokensCount: number
}

const SHARED_PREFIXES = 40
const SHARED_TOKENS_COUNT = 1000
const GROUP_TOKENS_COUNT = 200
const OWN_TOKENS_COUNT = 100
const MAX_OUTPUT_TOKENS_COUNT = 1500
const FORECAST_SIGMA = 0.35
const CHARACTERS_PER_TOKEN = 4

export class Workload {
  private readonly _random: RandomSource
  private _groupsCount = 0

  constructor (random: RandomSource) {
    this._random = random
  }

  /** One request, or the samples of one group. */
  next (load: ClassLoad): SimulatedRequest[] {
    const shared = sharedPrefix(this._skewedIndex())
    if (load.groupSizeCount === 1) return [this._request(load, [shared], undefined)]
    const groupKey = `group-${++this._groupsCount}`
    const own = { key: groupKey, tokensCount: GROUP_TOKENS_COUNT }
    return Array.from({ length: load.groupSizeCount }, () => this._request(load, [shared, own], groupKey))
  }

  /** Milliseconds to the next arrival of a class in a Poisson process; `tokensPerSecond` is the load of all classes. */
  gapMs (load: ClassLoad, tokensPerSecond: number): number {
    const perArrival = meanTokensCount(load) * load.groupSizeCount
    const arrivalsPerMs = tokensPerSecond * load.offeredShare / perArrival / 1000
    return -Math.log(1 - this._random.real()) / arrivalsPerMs
  }

  /** A random class, weighted by its fraction of the requests. */
  randomClass (): ClassLoad {
    const rates = classLoads.map(load => load.offeredShare / meanTokensCount(load) / load.groupSizeCount)
    let remaining = this._random.real() * rates.reduce((total, rate) => total + rate, 0)
    return classLoads.find((_, index) => (remaining -= rates[index] ?? 0) < 0) ?? classLoads[0]!
  }

  private _request (load: ClassLoad, prefix: PrefixPart[], groupKey: string | undefined): SimulatedRequest {
    const length = load.medianTokensCount * Math.exp(load.sigma * this._normal())
    const outputTokensCount = Math.min(MAX_OUTPUT_TOKENS_COUNT, Math.max(1, Math.round(length)))
    const expectedTokensCount = Math.max(1, Math.round(outputTokensCount * Math.exp(FORECAST_SIGMA * this._normal())))
    return {
      load,
      job: { prefix, ownTokensCount: OWN_TOKENS_COUNT, outputTokensCount, priority: load.paidWeight },
      affinityText: prefix.map(textOf).join(''),
      groupKey,
      expectedTokensCount
    }
  }

  /** An index whose probability is proportional to 1 / (index + 1). */
  private _skewedIndex (): number {
    const index = Math.floor(Math.exp(this._random.real() * Math.log(SHARED_PREFIXES + 1))) - 1
    return Math.min(SHARED_PREFIXES - 1, index)
  }

  private _normal (): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this._random.real()))
    return radius * Math.cos(2 * Math.PI * this._random.real())
  }
}

/** Mean of the lognormal distribution, ignoring the limit on the output length. */
export function meanTokensCount (load: ClassLoad): number {
  return load.medianTokensCount * Math.exp(load.sigma ** 2 / 2)
}

function sharedPrefix (index: number): PrefixPart {
  return { key: `shared-${index}`, tokensCount: SHARED_TOKENS_COUNT }
}

const texts = new Map<string, string>()

function textOf (part: PrefixPart): string {
  const cached = texts.get(part.key)
  if (cached) return cached
  const text = `${part.key} `.repeat(Math.ceil(part.tokensCount * CHARACTERS_PER_TOKEN / (part.key.length + 1)))
  const truncated = text.slice(0, part.tokensCount * CHARACTERS_PER_TOKEN)
  if (part.key.startsWith('shared')) texts.set(part.key, truncated)
  return truncated
}
