/**
 * `npm run docs`: makes docs/LOG-EVENTS.md and docs/METRICS.md from the
 * catalogues in the code. With `--check` it writes nothing and fails when a
 * page is out of date.
 */
import { existsSync, mkdirSync, readFileSync, writeFileSync } from 'node:fs'
import { pathToFileURL } from 'node:url'
import { Executed, RefusalReason, RetryReason, refusalStatus } from '../src/protocol/refusals.js'
import { metricCatalogue, type MetricName } from '../src/utils/metricNames.js'
import { loadEventCatalogues, type NamedCatalogue } from './eventCatalogues.js'

const NOTICE = 'Made by `npm run docs` from the catalogues in the code; do not edit.'

function tableRow (cells: readonly string[]): string {
  return `| ${cells.map(cell => cell.replaceAll('|', '\\|')).join(' | ')} |`
}

function table (head: readonly string[], rows: readonly string[][]): string {
  return [tableRow(head), tableRow(head.map(() => '---')), ...rows.map(tableRow)].join('\n')
}

function eventRows (catalogue: NamedCatalogue): string[][] {
  const numbers = Object.keys(catalogue.events).map(Number).sort((a, b) => a - b)
  return numbers.map(number => {
    const { level, text, advice } = catalogue.events[number]!
    return [String(number), String(catalogue.names[number] ?? ''), level, text, advice]
  })
}

export async function logEventsPage (): Promise<string> {
  const sections = (await loadEventCatalogues()).map(catalogue =>
    `## ${catalogue.module}\n\n${table(['number', 'name', 'level', 'what happened', 'what to do'], eventRows(catalogue))}`)
  return ['# Log events', NOTICE,
    'Each line of the log is one JSON object: on standard error, and on standard output on the users\' platform. `context.eventNumber` is the number below.',
    ...sections].join('\n\n') + '\n'
}

export function metricsPage (): string {
  const metricRows = Object.entries(metricCatalogue).map(([name, { type, tags, text }]) =>
    [`\`threaddrum.${name as MetricName}\``, type, tags.map(tag => `\`${tag}\``).join(', '), text])
  const reasonRows = Object.values(RefusalReason).map(reason => [`\`${reason}\``, String(refusalStatus[reason])])
  const retryRows = Object.values(RetryReason).map(reason => [`\`${reason}\``])
  return ['# Metrics', NOTICE,
    'StatsD over UDP by hot-shots, to the `[metrics] statsdAddress` of the settings; nothing blocks or fails when nobody listens. On the users\' platform the same metrics are served as text on the metrics address of each program instead (`threaddrum_request_refused_total` for `threaddrum.request.refused`), because the users\' request asks for that.',
    table(['metric', 'type', 'tags', 'what it counts'], metricRows),
    '## Values of `reason` of `threaddrum.request.refused`', table(['reason', 'HTTP status'], reasonRows),
    `Every refusal also says \`executed\`: ${Object.values(Executed).map(value => `\`${value}\``).join(', ')}.`,
    '## Values of `reason` of `threaddrum.request.retried`', table(['reason'], retryRows)].join('\n\n') + '\n'
}

export interface GeneratedPage {
  path: string
  text: string
}

/** Pages whose file differs from what the code says. */
export async function outdatedPages (): Promise<GeneratedPage[]> {
  const pages = [
    { path: 'docs/LOG-EVENTS.md', text: await logEventsPage() },
    { path: 'docs/METRICS.md', text: metricsPage() }
  ]
  return pages.filter(({ path, text }) => !existsSync(path) || readFileSync(path, 'utf8') !== text)
}

async function main (): Promise<number> {
  const outdated = await outdatedPages()
  if (process.argv.includes('--check')) {
    for (const { path } of outdated) process.stderr.write(`${path} is out of date; run npm run docs\n`)
    return outdated.length > 0 ? 1 : 0
  }
  mkdirSync('docs', { recursive: true })
  for (const { path, text } of outdated) {
    writeFileSync(path, text)
    process.stdout.write(`wrote ${path}\n`)
  }
  return 0
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) process.exitCode = await main()
