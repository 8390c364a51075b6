/**
 * Which of the open endpoints gets a request: of two random ones and the
 * prefix's home, the one with the lowest score. The score is the load it would
 * have, made worse by slowness and failures, less what a cached prefix saves.
 */
import type { EndpointPoolSpec } from '../../protocol/resources.js'
import type { RandomSource } from '../../utils/randomSource.js'
import type { Candidate } from './decisionLog.js'
import type { EndpointState } from './endpointState.js'
import { CachedPrefixes, PromptPrefix, expectedCachedFraction, homeOf } from './prefixAffinity.js'

const RANDOM_CHOICES = 2
/** A wholly cached prefix is worth so much more load, as part of the capacity. */
const AFFINITY_GAIN = 0.3
const FAILURE_PENALTY = 2

export interface ChoiceInput {
  /** Endpoints that may take the request now. */
  open: EndpointState[]
  /** All that could take it if they had a place; the home is one of these. */
  suitable: EndpointState[]
  spec: EndpointPoolSpec
  prefix: PromptPrefix | undefined
  cachedOn: (endpointId: string) => CachedPrefixes
  /** Typical time a token takes in this pool. */
  usualMsPerToken: number | undefined
  nowMs: number
}

export interface Choice {
  chosen: EndpointState
  reason: string
  candidates: Candidate[]
}

export function chooseEndpoint (input: ChoiceInput, random: RandomSource): Choice | undefined {
  const home = input.prefix && homeOf(input.prefix, input.suitable.map(state => state.endpointId))
  const looked = pickCandidates(input, home, random)
  const candidates = looked.map(state => describe(state, input, state.endpointId === home))
  const best = candidates.reduce<Candidate | undefined>((a, b) => a && a.score <= b.score ? a : b, undefined)
  const chosen = looked.find(state => state.endpointId === best?.endpointId)
  if (!best || !chosen) return undefined
  const reason = `lowest score of ${candidates.length}${best.endpointId === home ? ', home of its prefix' : ''}`
  return { chosen, reason, candidates }
}

function pickCandidates (input: ChoiceInput, home: string | undefined, random: RandomSource): EndpointState[] {
  const left = [...input.open]
  const picked: EndpointState[] = []
  while (picked.length < RANDOM_CHOICES && left.length > 0) {
    picked.push(...left.splice(random.int(0, left.length - 1), 1))
  }
  const homeState = left.find(state => state.endpointId === home)
  return homeState ? [...picked, homeState] : picked
}

function describe (state: EndpointState, input: ChoiceInput, isHome: boolean): Candidate {
  const cached = cachedFraction(state, input, isHome)
  const { health, record } = state
  const load = (state.estimatedCount + 1) / state.capacityCount(input.spec)
  const slowness = slownessOf(health.msPerToken, input.usualMsPerToken)
  const unreliability = 1 + FAILURE_PENALTY * health.failureRate
  return {
    endpointId: state.endpointId,
    estimatedCount: state.estimatedCount,
    ownCount: state.ownCount,
    ownLimitCount: state.ownLimitCount,
    reportAgeMs: Math.round(input.nowMs - record.loadAtMs),
    msPerToken: health.msPerToken,
    cachedPercent: Math.round(100 * cached),
    score: load * slowness * unreliability - AFFINITY_GAIN * cached
  }
}

function cachedFraction (state: EndpointState, input: ChoiceInput, isHome: boolean): number {
  if (!input.prefix) return 0
  const chain = input.prefix.chain(state.record.announcement.weightVersion ?? 0)
  return expectedCachedFraction(input.cachedOn(state.endpointId).fraction(chain), isHome)
}

function slownessOf (msPerToken: number | undefined, usualMsPerToken: number | undefined): number {
  if (msPerToken === undefined || usualMsPerToken === undefined) return 1
  return Math.max(1, msPerToken / usualMsPerToken)
}
