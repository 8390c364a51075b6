/**
 * Renders a report as one self-contained HTML page: statistics, plots, faults
 * and violated invariants.
 */
import { reportPlots } from './reportPlots.js'
import type { Latency, Report, SeriesReport } from './report.js'
import { escapeText, renderPlot } from './svgPlot.js'

const STYLE = `
:root { color-scheme: light dark; --ink: #1c2733; --soft: #5d6b79; --line: #d9dfe5; --page: #ffffff; --bad: #b3261e; --good: #1b6e3c;
  --c0: #2563a8; --c1: #1f8a4c; --c2: #c77700; --c3: #b3261e; --c4: #6d4fb3; --c5: #2f8f8f }
@media (prefers-color-scheme: dark) { :root { --ink: #e6ebf0; --soft: #9aa7b4; --line: #35414d; --page: #14191f; --bad: #ff8a80; --good: #7bd69b;
  --c0: #7fb2ea; --c1: #7bd69b; --c2: #f0b35c; --c3: #ff8a80; --c4: #b9a3f0; --c5: #7fd1d1 } }
body { font: 15px/1.45 system-ui, sans-serif; color: var(--ink); background: var(--page); max-width: 68rem; margin: 2rem auto; padding: 0 1rem }
h1 { font-size: 1.5rem; margin: 0 0 .2rem } h2 { font-size: 1.1rem; margin: 2rem 0 .5rem }
.soft { color: var(--soft) } .bad { color: var(--bad); font-weight: 600 } .good { color: var(--good); font-weight: 600 }
.scroll { overflow-x: auto } table { border-collapse: collapse; width: 100%; font-variant-numeric: tabular-nums }
th, td { text-align: right; padding: .25rem .45rem; font-size: .88rem; border-bottom: 1px solid var(--line); white-space: nowrap }
th { color: var(--soft); font-weight: 500 } th:first-child, td:first-child { text-align: left }
figure { margin: 1.2rem 0 } figcaption { display: flex; flex-wrap: wrap; gap: .2rem 1.2rem; font-size: .85rem } figcaption b { width: 100%; font-size: .95rem }
.swatch { display: inline-block; width: 1.1rem; height: 3px; margin-right: .4rem; vertical-align: middle; background: currentColor }
svg { width: 100%; height: auto; display: block } svg text { fill: var(--soft); font-size: 11px }
.grid { stroke: var(--line); stroke-width: 1 } .axis { stroke: var(--soft) } .series { fill: none; stroke: currentColor; stroke-width: 1.6 }
.mark { stroke: var(--soft); stroke-dasharray: 3 3 } svg .mark-text { font-size: 9.5px }
${[0, 1, 2, 3, 4, 5].map(index => `.colour-${index} { color: var(--c${index}) }`).join(' ')}
`

export function renderReportPage (report: Report): string {
  const title = `Load report: ${report.experiment}`
  return [
    '<!doctype html>',
    '<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width, initial-scale=1">',
    `<title>${escapeText(title)}</title><style>${STYLE}</style></head><body>`,
    `<h1>${escapeText(title)}</h1>`,
    `<p class="soft">${escapeText(subtitle(report))}</p>`,
    verdict(report),
    '<h2>Figures</h2>', seriesTable([report.all, ...report.byWorkload]),
    '<h2>By priority class</h2>', seriesTable(report.byClass),
    '<h2>Over time</h2>', ...reportPlots(report).map(renderPlot),
    '<h2>Refusals</h2>', refusalTable(report),
    '<h2>Faults</h2>', faultTable(report),
    '</body></html>'
  ].join('\n') + '\n'
}

function subtitle ({ startedAt, durationMs, warmUpMs, seed, worstSendLagMs, notSentCount }: Report): string {
  return `${startedAt}, ${durationMs / 1_000} s of which ${warmUpMs / 1_000} s of warm-up are excluded from the tables, seed ${seed}. ` +
    `Open loop; latencies are measured from the time a request was due. The tool sent at most ${worstSendLagMs.toFixed(1)} ms late; ` +
    `${notSentCount} requests were not sent because too many were in flight.`
}

function verdict ({ brokenCount, broken, recordCheckedCount }: Report): string {
  const checked = `${recordCheckedCount} requests were also checked against the execution records of the services.`
  if (brokenCount === 0) return `<p><span class="good">No violated invariants.</span> ${checked}</p>`
  const rows = broken.map(({ invariant, tag, message }) => [invariant, tag, message])
  return `<p><span class="bad">${brokenCount} violated invariants.</span> ${checked}</p>${renderTable(['invariant', 'request', 'observed behaviour'], rows)}`
}

function seriesTable (series: SeriesReport[]): string {
  const head = ['', 'sent', 'whole', 'share', 'in time per s', 'tokens per s', 'refused', 'lost', 'tries', 'p50 ms', 'p99 ms', 'p99.9 ms', 'max ms', 'first byte p99']
  return renderTable(head, series.map(seriesRow))
}

function seriesRow (series: SeriesReport): string[] {
  const { latency, firstByte } = series
  const refusedCount = Object.values(series.refusals).reduce((sum, count) => sum + count, 0)
  return [
    series.name,
    format(series.sentCount), format(series.wholeCount), `${series.sharePercent.toFixed(1)}%`,
    format(series.goodputPerSecond), format(series.tokensPerSecond),
    format(refusedCount), format(series.lostCount), format(series.triesCount),
    formatLatency(latency, 'p50Ms'), formatLatency(latency, 'p99Ms'), formatLatency(latency, 'p999Ms'), formatLatency(latency, 'maxMs'),
    formatLatency(firstByte, 'p99Ms')
  ]
}

function refusalTable ({ all, byClass }: Report): string {
  const reasons = Object.keys(all.refusals).sort()
  if (reasons.length === 0) return '<p class="soft">None.</p>'
  const rows = reasons.map(reason => [reason, format(all.refusals[reason] ?? 0), ...byClass.map(one => format(one.refusals[reason] ?? 0))])
  return renderTable(['final refusals', 'all', ...byClass.map(({ name }) => name)], rows)
}

function faultTable ({ faults }: Report): string {
  if (faults.length === 0) return '<p class="soft">None.</p>'
  return renderTable(['process', 'signal', 'at s', 'outcome'],
    faults.map(({ atMs, process, signal, outcome }) => [process, signal, format(atMs / 1_000), outcome]))
}

function renderTable (head: string[], rows: string[][]): string {
  const row = (cells: string[], tag: string): string => `<tr>${cells.map(cell => `<${tag}>${escapeText(cell)}</${tag}>`).join('')}</tr>`
  return `<div class="scroll"><table>${row(head, 'th')}${rows.map(cells => row(cells, 'td')).join('')}</table></div>`
}

function format (value: number): string {
  return value.toLocaleString('en', { maximumFractionDigits: value < 100 ? 1 : 0 })
}

function formatLatency (latency: Latency | null, key: keyof Latency): string {
  return latency ? format(latency[key]) : '–'
}
