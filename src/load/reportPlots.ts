/**
 * Builds the plots of a report page: outcomes and latency over time, and the
 * latency distribution.
 */
import type { Report, SecondReport, SeriesReport } from './report.js'
import type { Mark, Plot, PlotLine } from './svgPlot.js'

const MS_PER_SECOND = 1_000
const HIGHEST_SHOWN_QUANTILE = 0.9999

export function reportPlots (report: Report): Plot[] {
  return [outcomesPlot(report), latencyPlot(report), distributionPlot(report)]
}

function faultMarks (report: Report): Mark[] {
  return report.faults.map(({ atMs, process, signal }) => ({ x: atMs / MS_PER_SECOND, text: `${signal} ${process}` }))
}

function overTime (name: string, seconds: SecondReport[], valueOf: (second: SecondReport) => number | null): PlotLine {
  return { name, points: seconds.map(second => ({ x: second.atS, y: valueOf(second) })) }
}

function outcomesPlot (report: Report): Plot {
  const { seconds } = report
  return {
    title: 'Requests by the second in which they were due',
    xLabel: 'seconds since the start',
    yLabel: 'requests',
    lines: [
      overTime('sent', seconds, second => second.sentCount),
      overTime('answered completely', seconds, second => second.wholeCount),
      overTime('refused', seconds, second => second.refusedCount),
      overTime('lost', seconds, second => second.lostCount)
    ],
    marks: faultMarks(report)
  }
}

function latencyPlot (report: Report): Plot {
  return {
    title: 'Latency of complete answers, from the time a request was due',
    xLabel: 'seconds since the start',
    yLabel: 'ms',
    lines: [
      overTime('median', report.seconds, second => second.p50Ms),
      overTime('p99', report.seconds, second => second.p99Ms)
    ],
    marks: faultMarks(report),
    logY: true
  }
}

function distributionPlot (report: Report): Plot {
  const series = report.byClass.length > 1 ? report.byClass : report.byWorkload
  return {
    title: `Distribution of latency by ${report.byClass.length > 1 ? 'priority class' : 'workload'}`,
    xLabel: 'fraction of answers at or below the latency',
    yLabel: 'ms',
    lines: series.map(distributionLine),
    xTicks: [0, 0.5, 0.9, 0.99, 0.999, HIGHEST_SHOWN_QUANTILE].map(quantile => ({ x: nines(quantile), text: `${Number((quantile * 100).toFixed(2))}%` })),
    logY: true
  }
}

function distributionLine ({ name, distribution }: SeriesReport): PlotLine {
  const shown = distribution.filter(({ quantile }) => quantile <= HIGHEST_SHOWN_QUANTILE)
  return { name, points: shown.map(({ quantile, valueMs }) => ({ x: nines(quantile), y: valueMs })) }
}

/** Maps 0.9 to 1, 0.99 to 2 and so on, which spreads out the tail of the distribution. */
function nines (quantile: number): number {
  return -Math.log10(1 - quantile)
}
