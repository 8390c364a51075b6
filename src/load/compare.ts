/**
 * Compares two reports series by series, with the ratio of the second to the first.
 */
import Table from 'cli-table3'
import type { Report, SeriesReport } from './report.js'

export interface Difference {
  series: string
  figure: string
  before: number
  after: number
  /** `after / before`; undefined when `before` is zero. */
  ratio: number | undefined
}

type Figure = [name: string, read: (series: SeriesReport) => number]

const figures: Figure[] = [
  ['sent', series => series.sentCount],
  ['whole', series => series.wholeCount],
  ['goodput per s', series => series.goodputPerSecond],
  ['tokens per s', series => series.tokensPerSecond],
  ['share percent', series => series.sharePercent],
  ['refused', series => Object.values(series.refusals).reduce((sum, count) => sum + count, 0)],
  ['lost', series => series.lostCount],
  ['tries', series => series.triesCount],
  ['p50 ms', series => series.latency?.p50Ms ?? 0],
  ['p99 ms', series => series.latency?.p99Ms ?? 0],
  ['p99.9 ms', series => series.latency?.p999Ms ?? 0]
]

/** Series that are in only one of the reports are not compared; `unmatched` lists their names. */
export function compareReports (before: Report, after: Report): { differences: Difference[], unmatched: string[] } {
  const first = seriesByName(before)
  const second = seriesByName(after)
  const differences: Difference[] = []
  for (const [name, series] of first) {
    const other = second.get(name)
    if (!other) continue
    for (const [figure, read] of figures) differences.push(differenceOf(name, figure, read(series), read(other)))
  }
  differences.push(differenceOf('run', 'broken invariants', before.brokenCount, after.brokenCount))
  const names = new Set([...first.keys(), ...second.keys()])
  return { differences, unmatched: [...names].filter(name => !first.has(name) || !second.has(name)) }
}

export function renderDifferences (differences: Difference[]): string {
  const table = new Table({ head: ['series', 'figure', 'before', 'after', 'ratio'], style: { head: [], border: [] } })
  for (const { series, figure, before, after, ratio } of differences) {
    table.push([series, figure, round(before), round(after), ratio === undefined ? '' : ratio.toFixed(2)])
  }
  return table.toString()
}

function differenceOf (series: string, figure: string, before: number, after: number): Difference {
  return { series, figure, before, after, ratio: before === 0 ? undefined : after / before }
}

function seriesByName (report: Report): Map<string, SeriesReport> {
  const entries: Array<[string, SeriesReport]> = [
    ['all', report.all],
    ...report.byWorkload.map((series): [string, SeriesReport] => [`workload ${series.name}`, series]),
    ...report.byClass.map((series): [string, SeriesReport] => [`class ${series.name}`, series])
  ]
  return new Map(entries)
}

function round (value: number): number {
  return Number(value.toFixed(2))
}
