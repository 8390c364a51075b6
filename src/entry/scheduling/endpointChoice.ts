/**
 * Which of the open endpoints gets a request: of two random ones and the open
 * homes of its prefix, the one with the lowest score. The score is the load it
 * would have, made worse by slowness and failures, less what a home saves.
 */
import type { EndpointPoolSpec } from '../../protocol/resources.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { Candidate } from './decisionLog.js'
import type { EndpointState } from './endpointState.js'

const RANDOM_CHOICES = 2
/** A home is preferred until it has so much more load, as part of the capacity. */
const HOME_GAIN = 1
const FAILURE_PENALTY = 2

export interface ChoiceInput {
  /** Endpoints that may take the request now; at least one. */
  open: EndpointState[]
  /** Endpoints that probably have its prefix cached. */
  homes: Set<string>
  spec: EndpointPoolSpec
  /** Typical time a token takes in this pool. */
  usualMsPerToken: number | undefined
  /** How many times as long as usual a token takes, by the endpoint's own reports. */
  reportedSlowness: (state: EndpointState) => number
  nowMs: number
}

export interface Choice {
  chosen: EndpointState
  reason: string
  candidates: Candidate[]
}

export function chooseEndpoint (input: ChoiceInput, random: RandomSource): Choice | undefined {
  const looked = pickCandidates(input, random)
  const candidates = looked.map(state => describe(state, input))
  const best = candidates.reduce<Candidate | undefined>((a, b) => a && a.score <= b.score ? a : b, undefined)
  const chosen = looked.find(state => state.endpointId === best?.endpointId)
  if (!best || !chosen) return undefined
  const reason = `lowest score of ${candidates.length}${best.isHome ? ', a home of its prefix' : ''}`
  return { chosen, reason, candidates }
}

function pickCandidates ({ open, homes }: ChoiceInput, random: RandomSource): EndpointState[] {
  const picked = open.filter(state => homes.has(state.endpointId))
  const left = open.filter(state => !homes.has(state.endpointId))
  for (let count = 0; count < RANDOM_CHOICES && left.length > 0; count++) {
    picked.push(...left.splice(random.int(0, left.length - 1), 1))
  }
  return picked
}

function describe (state: EndpointState, input: ChoiceInput): Candidate {
  const isHome = input.homes.has(state.endpointId)
  const { health, record } = state
  const load = (state.estimatedCount + 1) / state.capacityCount(input.spec)
  const slowness = Math.max(health.slowness(input.usualMsPerToken, input.nowMs), input.reportedSlowness(state))
  const unreliability = 1 + FAILURE_PENALTY * health.failureRate(input.nowMs)
  return {
    endpointId: state.endpointId,
    estimatedCount: state.estimatedCount,
    ownCount: state.ownCount,
    ownLimitCount: state.ownLimitCount,
    reportAgeMs: Math.round(input.nowMs - record.loadAtMs),
    msPerToken: health.msPerToken,
    isHome,
    score: load * slowness * unreliability - (isHome ? HOME_GAIN : 0)
  }
}
