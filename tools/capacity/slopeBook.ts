/**
 * Looks up stored slopes by name and extrapolates them.
 */
import { readFileSync } from 'node:fs'
import { extrapolate, slopesSchema, SLOPES_PATH, type Slope } from '../../bench/slopes/slope.js'

export class SlopeBook {
  private readonly _slopes: Map<string, Slope>

  constructor (slopes: readonly Slope[]) {
    this._slopes = new Map(slopes.map(slope => [slope.name, slope]))
  }

  static read (path = SLOPES_PATH): SlopeBook {
    return new SlopeBook(slopesSchema.parse(JSON.parse(readFileSync(path, 'utf8'))).slopes)
  }

  get all (): Slope[] {
    return [...this._slopes.values()]
  }

  /** Value of the fitted line at a size; undefined if the slope was not measured. */
  at (name: string, size: number): number | undefined {
    const slope = this._slopes.get(name)
    return slope && extrapolate(slope, size)
  }

  perUnit (name: string): number | undefined {
    return this._slopes.get(name)?.perUnit
  }

  /** Names among the given ones that were not measured. */
  missing (names: readonly string[]): string[] {
    return names.filter(name => !this._slopes.has(name))
  }
}
