/**
 * Arrival times of requests: a Poisson process whose rate follows the profile
 * of the experiment. The times do not depend on how the system responds, which
 * makes the load an open loop.
 */
import type { RandomSource } from '../utils/randomSource.js'
import type { Experiment, Workload } from './experiment.js'

const MS_PER_SECOND = 1_000

type RateProfile = Experiment['rate']

/** Requests per second at a given time of the experiment. */
export function rateAt (profile: RateProfile, atMs: number): number {
  const spike = profile.spikes.find(({ atMs: fromMs, durationMs }) => atMs >= fromMs && atMs < fromMs + durationMs)
  return profile.perSecond * (spike?.factor ?? 1)
}

/** Times at which requests are due, in milliseconds since the start. */
export function * arrivalTimes (profile: RateProfile, durationMs: number, random: RandomSource): Generator<number> {
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

/** Draws a workload at random, weighted by the workload's share. */
export function drawWorkload (workloads: readonly Workload[], random: RandomSource): Workload {
  const totalShare = workloads.reduce((sum, { share }) => sum + share, 0)
  let remaining = random.real() * totalShare
  for (const workload of workloads) {
    remaining -= workload.share
    if (remaining < 0) return workload
  }
  return workloads.at(-1)!
}
