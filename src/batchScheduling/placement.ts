/**
 * Where an item runs: a service of its route and what is configured of its engines.
 */
import type { ModelEngine } from '../protocol/routing.js'

/** The service at which an item runs. */
export interface Placement {
  service: string
  modelEngine: ModelEngine | undefined
}

export function tokensPerEvent ({ modelEngine }: Placement): number {
  return modelEngine?.tokensPerEvent ?? 1
}
