/** Stand-in for a scoring service; the score of a sample is its share of distinct tokens. */
import { SCORE_PATH, scoreRequestSchema, type ScoreReply } from '../src/protocol/endpoints.js'
import type { Clock } from '../src/utils/clock.js'
import { PlainService } from './plainService.js'
import type { ServiceSettings } from './standInSettings.js'

export function createScoringService (settings: ServiceSettings, clock: Clock): PlainService {
  return new PlainService(settings, clock, score)
}

function score (path: string, body: Buffer): ScoreReply | { message: string } {
  if (path !== SCORE_PATH) return { message: `unknown path: only ${SCORE_PATH} is served` }
  const { tokens } = scoreRequestSchema.parse(JSON.parse(body.toString('utf8')))
  return { score: tokens.length === 0 ? 0 : new Set(tokens).size / tokens.length }
}
