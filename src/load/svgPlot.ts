/**
 * Renders plots as SVG text, with axes from d3-scale and lines from d3-shape.
 * Colours are CSS classes, which the style sheet of the page defines.
 */
import { scaleLinear, scaleSymlog, type ScaleContinuousNumeric } from 'd3-scale'
import { line } from 'd3-shape'

export interface Point {
  x: number
  /** Null leaves a gap in the line. */
  y: number | null
}

export interface PlotLine {
  name: string
  points: Point[]
}

export interface Mark {
  x: number
  text: string
}

export interface Plot {
  title: string
  xLabel: string
  yLabel: string
  lines: PlotLine[]
  /** Vertical lines with a label, such as faults. */
  marks?: Mark[]
  /** Labels of the x axis that replace the plain numbers. */
  xTicks?: Array<{ x: number, text: string }>
  /** Uses a symmetric log scale, so that small and large values are readable on one axis. */
  logY?: boolean
}

const WIDTH = 760
const HEIGHT = 244
const MARGIN = { top: 12, right: 26, bottom: 40, left: 62 }
const X_TICKS = 8
const Y_TICKS = 5
const COLOURS = 6
const MARK_ROW_HEIGHT = 11
const MARK_ROWS = 3

type Scale = ScaleContinuousNumeric<number, number>

export function escapeText (text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;').replaceAll('"', '&quot;')
}

export function renderPlot (plot: Plot): string {
  const points = plot.lines.flatMap(({ points }) => points)
  const xs = points.map(({ x }) => x)
  const ys = points.flatMap(({ y }) => y === null ? [] : [y])
  const x = scaleLinear([Math.min(...xs, 0), Math.max(...xs, 1)], [MARGIN.left, WIDTH - MARGIN.right])
  const y = yScale(Math.max(...ys, 1), plot.logY ?? false)
  const elements = [
    ...yAxis(y, plot.yLabel, plot.logY ?? false),
    ...xAxis(x, plot),
    ...(plot.marks ?? []).map((mark, index) => renderMark(mark, x, index)),
    ...plot.lines.map((one, index) => renderLine(one, x, y, index))
  ]
  return `<figure>${caption(plot)}<svg viewBox="0 0 ${WIDTH} ${HEIGHT}" role="img" aria-label="${escapeText(plot.title)}">` +
    `${elements.join('')}</svg></figure>`
}

function yScale (highest: number, isLog: boolean): Scale {
  const range: [number, number] = [HEIGHT - MARGIN.bottom, MARGIN.top]
  return isLog ? scaleSymlog([0, highest], range) : scaleLinear([0, highest], range).nice(Y_TICKS)
}

function yTickValues (y: Scale, isLog: boolean): number[] {
  if (!isLog) return y.ticks(Y_TICKS)
  const highest = y.domain()[1] ?? 1
  const powers = [0, 1, 3, 10, 30, 100, 300, 1_000, 3_000, 10_000, 30_000, 100_000, 300_000, 1_000_000]
  return powers.filter(value => value <= highest)
}

function yAxis (y: Scale, label: string, isLog: boolean): string[] {
  const ticks = yTickValues(y, isLog).map(value => {
    const at = y(value).toFixed(1)
    return `<line class="grid" x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${at}" y2="${at}"/>` +
      `<text class="tick" text-anchor="end" x="${MARGIN.left - 6}" y="${at}" dy="0.32em">${value.toLocaleString('en')}</text>`
  })
  const middle = (MARGIN.top + HEIGHT - MARGIN.bottom) / 2
  return [...ticks, `<text class="label" text-anchor="middle" transform="translate(14 ${middle}) rotate(-90)">${escapeText(label)}</text>`]
}

function xAxis (x: Scale, plot: Plot): string[] {
  const bottom = HEIGHT - MARGIN.bottom
  const ticks = plot.xTicks ?? x.ticks(X_TICKS).map(value => ({ x: value, text: value.toLocaleString('en') }))
  const texts = ticks.map(tick =>
    `<text class="tick" text-anchor="middle" x="${x(tick.x).toFixed(1)}" y="${bottom + 15}">${escapeText(tick.text)}</text>`)
  const middle = (MARGIN.left + WIDTH - MARGIN.right) / 2
  return [
    `<line class="axis" x1="${MARGIN.left}" x2="${WIDTH - MARGIN.right}" y1="${bottom}" y2="${bottom}"/>`,
    ...texts,
    `<text class="label" text-anchor="middle" x="${middle}" y="${HEIGHT - 6}">${escapeText(plot.xLabel)}</text>`
  ]
}

function renderLine ({ points }: PlotLine, x: Scale, y: Scale, index: number): string {
  const path = line<Point>()
    .defined(point => point.y !== null)
    .x(point => x(point.x))
    .y(point => y(point.y ?? 0))
    .digits(1)
  return `<path class="series colour-${index % COLOURS}" d="${path(points) ?? ''}"/>`
}

/** Puts the labels of neighbouring marks into different rows, so that they do not overlap. */
function renderMark (mark: Mark, x: Scale, index: number): string {
  const at = x(mark.x)
  const isNearEnd = at > WIDTH - 150
  const textY = MARGIN.top + 8 + (index % MARK_ROWS) * MARK_ROW_HEIGHT
  return `<line class="mark" x1="${at.toFixed(1)}" x2="${at.toFixed(1)}" y1="${MARGIN.top}" y2="${HEIGHT - MARGIN.bottom}"/>` +
    `<text class="mark-text" text-anchor="${isNearEnd ? 'end' : 'start'}" x="${(at + (isNearEnd ? -4 : 4)).toFixed(1)}" y="${textY}">` +
    `${escapeText(mark.text)}</text>`
}

function caption ({ title, lines }: Plot): string {
  const entries = lines.map(({ name }, index) => `<span><i class="swatch colour-${index % COLOURS}"></i>${escapeText(name)}</span>`)
  return `<figcaption><b>${escapeText(title)}</b>${entries.join('')}</figcaption>`
}
