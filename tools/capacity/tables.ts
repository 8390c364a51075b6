/**
 * Renders the capacity tables as Markdown.
 */
import { Role, type CapacityRow, type Cost } from './rows.js'
import type { SlopeBook } from './slopeBook.js'
import { target } from './target.js'

export interface Verdict {
  what: string
  value: number | undefined
  /** Slopes that the value depends on but that were not measured. */
  missing: string[]
  limit: number
  unit: string
}

function format (value: number | undefined): string {
  if (value === undefined) return ''
  return value >= 100 ? value.toFixed(0) : value >= 1 ? value.toFixed(1) : value.toPrecision(2)
}

function table (head: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  const line = (cells: readonly string[]): string => `| ${cells.join(' | ')} |`
  return [line(head), line(head.map(() => '---')), ...rows.map(line)].join('\n')
}

function sum (rows: readonly CapacityRow[], key: keyof Cost): number | undefined {
  const values = rows.flatMap(({ cost }) => cost[key] === undefined ? [] : [cost[key]])
  return values.length === 0 ? undefined : values.reduce((total, value) => total + value, 0)
}

export function roleTable (role: Role, rows: readonly CapacityRow[], book: SlopeBook): string {
  const own = rows.filter(row => row.role === role)
  const cells = own.map(({ what, cost, mechanism, slopes }) => [
    book.missing(slopes).length > 0 ? `${what} (not measured)` : what, format(cost.corePercent), format(cost.kilobytesPerSecond), format(cost.megabytes), mechanism, slopes.map(name => `\`${name}\``).join(', ')
  ])
  const total = ['**together**', format(sum(own, 'corePercent')), format(sum(own, 'kilobytesPerSecond')), format(sum(own, 'megabytes')), '', '']
  return `### ${role}\n\n${table(['what', '% of a core', 'KB/s', 'MB', 'carried by', 'from'], [...cells, total])}`
}

/** Compares the cost of control on an entry host with the required limits. */
export function controlVerdicts (rows: readonly CapacityRow[], book: SlopeBook): Verdict[] {
  const own = rows.filter(({ role }) => role === Role.EntryControl)
  const missing = book.missing(own.flatMap(({ slopes }) => slopes))
  return [
    { what: 'processor time for control', value: sum(own, 'corePercent'), missing, limit: target.controlCorePercent, unit: '% of a core' },
    { what: 'traffic for control', value: sum(own, 'kilobytesPerSecond'), missing, limit: target.controlKilobytesPerSecond, unit: 'KB/s' },
    { what: 'resident memory of the whole process', value: sum(own, 'megabytes'), missing, limit: target.controlMegabytes, unit: 'MB' }
  ]
}

export function verdictTable (verdicts: readonly Verdict[]): string {
  const rows = verdicts.map(verdict => [
    verdict.what, `${format(verdict.value)} ${verdict.unit}`, `${verdict.limit} ${verdict.unit}`, verdictOf(verdict)
  ])
  return table(['limit of an entry host', 'calculated', 'allowed', 'today\'s build'], rows)
}

function verdictOf ({ value, limit, missing }: Verdict): string {
  if (value !== undefined && value > limit) return `**does not hold**, ${(value / limit).toFixed(1)} times over`
  if (missing.length > 0) return `not known: ${missing.join(', ')} not measured`
  return 'holds'
}

export function slopeTable (book: SlopeBook): string {
  const rows = book.all.map(slope => [
    `\`${slope.name}\``, slope.what, `${slope.perUnit.toPrecision(4)} ${slope.unit}`, slope.sizeUnit, slope.intercept.toPrecision(3),
    slope.readings.map(({ size }) => size).join(', '), `${slope.spreadPercent}%`, String(slope.bend), `${slope.date} ${slope.commit}`
  ])
  return table(['slope', 'what it is', 'each', 'one of', 'at zero', 'sizes', 'spread', 'bend', 'read at'], rows)
}
