/**
 * When requests are due: a Poisson process whose rate follows the profile of
 * the experiment. The moments are fixed beforehand, whatever the system does,
 * which is what makes the load an open loop.
 */
import type { RandomSource } from '../utils/randomSource.js'
import type { Experiment, Workload } from './experiment.js'

const MS_PER_SECOND = 1_000

type RateProfile = Experiment['rate']

/** Requests a second at a moment of the experiment. */
export function rateAt (profile: RateProfile, atMs: number): number {
  const spike = profile.spikes.find(({ atMs: fromMs, durationMs }) => atMs >= fromMs && atMs < fromMs + durationMs)
  return profile.perSecond * (spike?.factor ?? 1)
}

/** The moments at which requests are due, in milliseconds from the start. */
export function * arrivalMoments (profile: RateProfile, durationMs: number, random: RandomSource): Generator<number> {
  const highestRate = Math.max(profile.perSecond, ...profile.spikes.map(({ factor }) => factor * profile.perSecond))
  let atMs = 0
  for (;;) {
    atMs += exponentialMs(highestRate, random)
    if (atMs >= durationMs) return
    if (random.real() * highestRate < rateAt(profile, atMs)) yield atMs
  }
}

function exponentialMs (perSecond: number, random: RandomSource): number {
  return -Math.log(1 - random.real()) * MS_PER_SECOND / perSecond
}

/** Draws a workload by its share. */
export function drawWorkload (workloads: readonly Workload[], random: RandomSource): Workload {
  const total = workloads.reduce((sum, { share }) => sum + share, 0)
  let left = random.real() * total
  for (const workload of workloads) {
    left -= workload.share
    if (left < 0) return workload
  }
  return workloads.at(-1)!
}
