/**
 * Samples the resident memory of processes over time, from /proc.
 */
import { readFileSync } from 'node:fs'
import { medianOf } from '../slopes/slope.js'

const BYTES_PER_KB = 1_024
const MIN_SAMPLES = 8

export interface MemoryTrend {
  name: string
  samplesCount: number
  /** Medians of the second and of the last quarter of the samples; the first quarter is warm-up. */
  earlyBytes: number
  lateBytes: number
  growthPercent: number
}

export function residentBytes (pid: number): number | undefined {
  try {
    const kilobytes = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]
    return kilobytes === undefined ? undefined : Number(kilobytes) * BYTES_PER_KB
  } catch {
    return undefined
  }
}

export class MemorySamples {
  private readonly _byName = new Map<string, number[]>()

  take (name: string, pid: number): void {
    const bytes = residentBytes(pid)
    if (bytes === undefined) return
    const values = this._byName.get(name) ?? []
    values.push(bytes)
    this._byName.set(name, values)
  }

  /** Trends of the processes with enough samples. */
  trends (): MemoryTrend[] {
    return [...this._byName].filter(([, values]) => values.length >= MIN_SAMPLES).map(([name, values]) => {
      const quarter = Math.floor(values.length / 4)
      const earlyBytes = medianOf(values.slice(quarter, 2 * quarter))
      const lateBytes = medianOf(values.slice(-quarter))
      return { name, samplesCount: values.length, earlyBytes, lateBytes, growthPercent: Math.round(1_000 * (lateBytes / earlyBytes - 1)) / 10 }
    })
  }
}
