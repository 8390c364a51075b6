/**
 * Checks that a trainer makes on its samples: fresh, complete and delivered
 * exactly once.
 */
import type { Sample } from '../src/protocol/trainers.js'

export class TrainerChecks {
  private readonly _stalenessBoundVersions: number
  private readonly _slots = new Set<string>()
  private readonly _attempts = new Set<string>()
  private readonly _staleness: number[] = []
  private _heldPosition: number
  /** One line per violation; empty if every check passed. */
  readonly violations: string[] = []

  constructor (stalenessBoundVersions: number, confirmedPosition: number) {
    this._stalenessBoundVersions = stalenessBoundVersions
    this._heldPosition = confirmedPosition
  }

  get heldPosition (): number {
    return this._heldPosition
  }

  /** Staleness of each sample at its delivery, in versions. */
  get staleness (): readonly number[] {
    return this._staleness
  }

  checkSample (sample: Sample, trainerVersion: number): void {
    const slot = `${sample.step}/${sample.group}/${sample.index}`
    this._expect(sample.position === this._heldPosition + 1, `position ${sample.position} came after ${this._heldPosition}`)
    this._expect(!this._slots.has(slot), `slot ${slot} came twice`)
    this._expect(!this._attempts.has(sample.attemptId), `attempt ${sample.attemptId} came twice`)
    this._expect(sample.tokens.length > 0, `slot ${slot} has no tokens`)
    this._expect(coversAllTokens(sample), `slot ${slot}: version spans do not cover its ${sample.tokens.length} tokens`)
    const staleness = trainerVersion - oldestVersion(sample)
    this._expect(staleness <= this._stalenessBoundVersions, `slot ${slot} is ${staleness} versions old`)
    this._heldPosition = Math.max(this._heldPosition, sample.position)
    this._slots.add(slot)
    this._attempts.add(sample.attemptId)
    this._staleness.push(Math.max(0, staleness))
  }

  /** Checks that a step which the system reports as complete has all its samples. */
  checkStep (step: number, samplesPerStepCount: number): void {
    const count = [...this._slots].filter(slot => slot.startsWith(`${step}/`)).length
    this._expect(count === samplesPerStepCount, `step ${step} has ${count} samples of ${samplesPerStepCount}`)
  }

  private _expect (holds: boolean, violation: string): void {
    if (!holds) this.violations.push(violation)
  }
}

export function oldestVersion (sample: Sample): number {
  return Math.min(...sample.versions.map(({ weightVersion }) => weightVersion))
}

function coversAllTokens ({ tokens, versions }: Sample): boolean {
  let coveredCount = 0
  for (const { fromToken, toToken } of versions) {
    if (fromToken !== coveredCount || toToken <= fromToken) return false
    coveredCount = toToken
  }
  return coveredCount === tokens.length
}
