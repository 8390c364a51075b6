/**
 * `threaddrum explain ID --logs FILES`: what collected log files say of a
 * request, a batch, an item or an order, in the order in which it happened,
 * with what else changed meanwhile at the endpoints and leaders concerned.
 * Clocks of hosts differ a little, so lines of two hosts may stand in the wrong
 * order by that much.
 */
import { readText } from '../utils/settings.js'
import { ExitCode } from './exitCode.js'
import type { Output } from './output.js'

export interface LogExplanationOptions {
  id: string
  files: string[]
  output: Output
  asJson: boolean
}

export interface LogLine {
  wallMs: number
  host: string
  program: string
  eventNumber: number
  text: string
  fields: Record<string, unknown>
}

/** Why a line is shown. */
enum Relation {
  /** It names the id itself. */
  Own = 'own',
  /** It names an id that a line of the request led to, such as its reward call or its digest. */
  LedTo = 'led_to',
  /** It tells what changed meanwhile at an endpoint or a leader. */
  Meanwhile = 'meanwhile'
}

interface ShownLine extends LogLine {
  relation: Relation
}

/** Fields of a line that lead to further lines. */
const LEADING_FIELDS = ['rewardId', 'digest']
/** Changes of leaders, of the batch store's dispatcher, and of what a host follows (docs/LOG-EVENTS.md). */
const LEADER_EVENTS = new Set([1010, 1011, 1012, 1014, 1015, 1108, 1109, 3240, 3241])
/** Endpoints that became known, left or fell silent, and orders to engines. */
const ENDPOINT_EVENTS = new Set([1104, 1105, 1106, 3250, 3251])
/** What happened this long before the first line may have caused it. */
const BEFORE_MS = 2_000
/** Fields that roarr puts into every line. */
const COMMON_FIELDS = new Set(['program', 'host', 'hostId', 'eventNumber', 'logLevel'])

export function explainFromLogs ({ id, files, output, asJson }: LogExplanationOptions): ExitCode {
  const lines = files.flatMap(file => parseLog(readText(file)))
  const shown = linesAbout(id, lines)
  if (shown.length === 0) {
    output.error(`none of ${lines.length} lines in ${files.length} files names "${id}"`)
    return ExitCode.NotFound
  }
  if (asJson) output.print(JSON.stringify(shown, null, 2))
  else for (const line of shown) output.print(describe(line, shown[0]?.wallMs ?? 0))
  return ExitCode.Done
}

/** Lines that are not of this system's logs are passed over. */
export function parseLog (text: string): LogLine[] {
  return text.split('\n').flatMap(parseLine)
}

/** A collector may have put something before the JSON object. */
function parseLine (line: string): LogLine[] {
  const begin = line.indexOf('{"context":')
  if (begin < 0) return []
  try {
    const { context, message, time } = JSON.parse(line.slice(begin)) as { context: Record<string, unknown>, message: string, time: number }
    const fields = Object.fromEntries(Object.entries(context).filter(([name]) => !COMMON_FIELDS.has(name)))
    const host = String(context.host ?? context.hostId ?? '')
    return [{ wallMs: time, host, program: String(context.program ?? ''), eventNumber: Number(context.eventNumber), text: message, fields }]
  } catch {
    // A line that was cut off when it was collected says nothing.
    return []
  }
}

function linesAbout (id: string, lines: LogLine[]): ShownLine[] {
  const own = lines.filter(line => names(line, id))
  const [first, last] = [Math.min(...own.map(({ wallMs }) => wallMs)), Math.max(...own.map(({ wallMs }) => wallMs))]
  const ledToIds = own.flatMap(({ fields }) => LEADING_FIELDS.flatMap(name => (typeof fields[name] === 'string' ? [fields[name]] : [])))
  const endpointIds = new Set(own.map(({ fields }) => fields.endpointId))
  const hosts = new Set(own.map(({ host }) => host))
  const relationOf = (line: LogLine): Relation | undefined => {
    if (names(line, id)) return Relation.Own
    if (ledToIds.some(other => names(line, other))) return Relation.LedTo
    // What other hosts learned meanwhile decided nothing here.
    if (!hosts.has(line.host) || line.wallMs < first - BEFORE_MS || line.wallMs > last) return undefined
    if (LEADER_EVENTS.has(line.eventNumber)) return Relation.Meanwhile
    return ENDPOINT_EVENTS.has(line.eventNumber) && endpointIds.has(line.fields.endpointId) ? Relation.Meanwhile : undefined
  }
  const shown = lines.flatMap(line => {
    const relation = relationOf(line)
    return relation === undefined ? [] : [{ ...line, relation }]
  })
  return shown.sort((left, right) => left.wallMs - right.wallMs)
}

function names ({ fields }: LogLine, id: string): boolean {
  return Object.values(fields).some(value => value === id || (Array.isArray(value) && value.includes(id)))
}

const marks: Record<Relation, string> = { [Relation.Own]: '*', [Relation.LedTo]: '+', [Relation.Meanwhile]: ' ' }

/** Seconds since the first line, who said it, and what. */
function describe ({ wallMs, host, program, eventNumber, text, fields, relation }: ShownLine, firstMs: number): string {
  const atS = ((wallMs - firstMs) / 1_000).toFixed(3)
  const told = Object.entries(fields).map(([name, value]) => `${name}=${Array.isArray(value) ? value.join(',') : String(value)}`)
  return `${atS.padStart(8)} ${marks[relation]} ${host} ${program} ${eventNumber} ${text} ${told.join(' ')}`
}
