/**
 * Chooses the endpoint for a request among those with free capacity. Two random
 * endpoints and the available homes of the request's prefix are compared, and
 * the one with the lowest score is chosen. The score is the relative load with
 * the request added, multiplied by penalties for slowness and failures, minus a
 * bonus for a home.
 */
import type { EndpointPoolSpec } from '../../protocol/resources.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { Candidate } from './decisionLog.js'
import type { EndpointState } from './endpointState.js'

const RANDOM_CHOICES = 2
/** A home is preferred until its load exceeds that of others by this fraction of the capacity. */
const HOME_BONUS = 1
const FAILURE_PENALTY = 2

export interface ChoiceInput {
  /** Endpoints that can take the request now; at least one. */
  open: EndpointState[]
  /** Endpoints that probably have the prefix of the prompt in their cache. */
  homes: Set<string>
  spec: EndpointPoolSpec
  /** Average time per token in this pool; undefined before the first success. */
  typicalMsPerToken: number | undefined
  /** Time per token relative to the median of the pool, from the endpoints' load reports. */
  reportedSlowness: (state: EndpointState) => number
  nowMs: number
}

export interface Choice {
  chosen: EndpointState
  reason: string
  candidates: Candidate[]
}

export function chooseEndpoint (input: ChoiceInput, random: RandomSource): Choice | undefined {
  const considered = pickCandidates(input, random)
  const candidates = considered.map(state => describe(state, input))
  const best = candidates.reduce<Candidate | undefined>((a, b) => a && a.score <= b.score ? a : b, undefined)
  const chosen = considered.find(state => state.endpointId === best?.endpointId)
  if (!best || !chosen) return undefined
  const reason = `lowest score of ${candidates.length} candidates${best.isHome ? ', a home of the prefix' : ''}`
  return { chosen, reason, candidates }
}

function pickCandidates ({ open, homes }: ChoiceInput, random: RandomSource): EndpointState[] {
  const picked = open.filter(state => homes.has(state.endpointId))
  const others = open.filter(state => !homes.has(state.endpointId))
  for (let count = 0; count < RANDOM_CHOICES && others.length > 0; count++) {
    picked.push(...others.splice(random.int(0, others.length - 1), 1))
  }
  return picked
}

function describe (state: EndpointState, input: ChoiceInput): Candidate {
  const isHome = input.homes.has(state.endpointId)
  const { health, record } = state
  const load = (state.estimatedCount + 1) / state.capacityCount(input.spec)
  const slowness = Math.max(health.slowness(input.typicalMsPerToken, input.nowMs), input.reportedSlowness(state))
  const unreliability = 1 + FAILURE_PENALTY * health.failureRate(input.nowMs)
  return {
    endpointId: state.endpointId,
    estimatedCount: state.estimatedCount,
    ownCount: state.ownCount,
    ownLimitCount: state.ownLimitCount,
    reportAgeMs: Math.round(input.nowMs - record.loadAtMs),
    msPerToken: health.msPerToken,
    isHome,
    score: load * slowness * unreliability - (isHome ? HOME_BONUS : 0)
  }
}
