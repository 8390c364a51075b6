/**
 * Scenarios: loads, as fractions of the engines' measured capacity, and faults.
 */
import type { RandomSource } from '../../src/utils/randomSource.js'
import type { VirtualClock } from '../../tests/fixtures/virtualClock.js'
import type { StandInEngine } from './standInEngine.js'
import type { ClassLoad } from './workload.js'

export interface Scenario {
  hostsCount: number
  /** Offered load, as a fraction of the capacity of the healthy engines. */
  loadAt (nowMs: number): number
  arrange? (engines: StandInEngine[], clock: VirtualClock): void
  hostFor? (load: ClassLoad, random: RandomSource): number
  /** Not run for the baselines. */
  policyOnly?: boolean
}

const HOSTS_COUNT = 3
const MANY_HOSTS_COUNT = 12
const FAULT_AT_MS = 12_000
const FLAP_INTERVAL_MS = 3_000
const STALLED_SPEED = 1e-5
const STALL_MS = 10_000
const SPIKE_FROM_MS = 14_000
const SPIKE_MS = 5_000

function steady (load: number, hostsCount = HOSTS_COUNT): Scenario {
  return { hostsCount, loadAt: () => load }
}

function slow (engines: StandInEngine[]): void {
  engines[0]!.speed = 0.2
}

function recover (engines: StandInEngine[], clock: VirtualClock): void {
  slow(engines)
  clock.callAt(FAULT_AT_MS, () => { engines[0]!.speed = 1 })
}

/** Accepts work and keeps reporting, but generates no tokens for a while. */
function stall (engines: StandInEngine[], clock: VirtualClock): void {
  clock.callAt(FAULT_AT_MS, () => { engines[0]!.speed = STALLED_SPEED })
  clock.callAt(FAULT_AT_MS + STALL_MS, () => engines[0]!.crash())
  clock.callAt(FAULT_AT_MS + STALL_MS + FLAP_INTERVAL_MS, () => {
    engines[0]!.speed = 1
    engines[0]!.restart()
  })
}

function crash (engines: StandInEngine[], clock: VirtualClock): void {
  clock.callAt(FAULT_AT_MS, () => engines[0]!.crash())
}

function flap (engines: StandInEngine[], clock: VirtualClock): void {
  const engine = engines[0]!
  const turn = (): void => {
    if (engine.isUp) engine.crash()
    else engine.restart()
    clock.callAt(clock.nowMs() + FLAP_INTERVAL_MS, turn)
  }
  clock.callAt(FAULT_AT_MS, turn)
}

function spike (nowMs: number): number {
  return nowMs >= SPIKE_FROM_MS && nowMs < SPIKE_FROM_MS + SPIKE_MS ? 4 : 0.4
}

export const scenarios: Record<string, Scenario> = {
  unloaded: steady(0.05),
  load_0_7: steady(0.7),
  load_1_0: steady(1),
  load_1_5: steady(1.5),
  slow: { ...steady(0.7), arrange: slow },
  flapping: { ...steady(0.7), arrange: flap },
  recovering: { ...steady(0.9), arrange: recover },
  stalled: { ...steady(0.7), arrange: stall },
  crashed: { ...steady(0.7), arrange: crash },
  spike: { ...steady(0.4), loadAt: spike },
  overload_slow: { ...steady(1.5), arrange: slow },
  hosts_12_load_0_7: { ...steady(0.7, MANY_HOSTS_COUNT), policyOnly: true },
  hosts_12_load_1_5: steady(1.5, MANY_HOSTS_COUNT),
  hosts_1_load_1_5: { ...steady(1.5, 1), policyOnly: true },
  /** The first host receives all gold requests, the other hosts receive the rest. */
  skewed_1_5: { ...steady(1.5), policyOnly: true, hostFor: (load, random) => load.name === 'gold' ? 0 : random.int(1, HOSTS_COUNT - 1) }
}
