/**
 * `threaddrum explain ID --logs FILES`: prints what collected log files contain
 * about a request, a batch, an item or an order, sorted by time, together with
 * concurrent changes of the endpoints and leaders involved. The clocks of hosts
 * differ slightly, so lines of two hosts may be out of order by that difference.
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
  /** The line contains the id itself. */
  Own = 'own',
  /** The line contains an id found in one of those lines, such as that of a reward call or a digest. */
  Linked = 'led_to',
  /** The line reports a concurrent change of an endpoint or a leader. */
  Concurrent = 'meanwhile'
}

interface ShownLine extends LogLine {
  relation: Relation
}

/** Fields whose values identify further related lines. */
const LINK_FIELDS = ['rewardId', 'digest']
/** Changes of leaders, of the dispatcher of the batch store, and of the host that a host follows (docs/LOG-EVENTS.md). */
const LEADER_EVENTS = new Set([1010, 1011, 1012, 1014, 1015, 1108, 1109, 3240, 3241])
/** Endpoints that became known, left or stopped answering, and orders to engines. */
const ENDPOINT_EVENTS = new Set([1104, 1105, 1106, 3250, 3251])
/** Changes up to this long before the first line are shown, since they may have caused what follows. */
const LOOKBACK_MS = 2_000
/** Fields that every line has; they are not printed as fields. */
const COMMON_FIELDS = new Set(['program', 'host', 'hostId', 'eventNumber', 'logLevel'])

export function explainFromLogs ({ id, files, output, asJson }: LogExplanationOptions): ExitCode {
  const lines = files.flatMap(file => parseLog(readText(file)))
  const shown = relatedLines(id, lines)
  if (shown.length === 0) {
    output.error(`none of ${lines.length} lines in ${files.length} files names "${id}"`)
    return ExitCode.NotFound
  }
  if (asJson) output.print(JSON.stringify(shown, null, 2))
  else for (const line of shown) output.print(describe(line, shown[0]?.wallMs ?? 0))
  return ExitCode.Done
}

/** Skips lines that are not log lines of this system. */
export function parseLog (text: string): LogLine[] {
  return text.split('\n').flatMap(parseLine)
}

/** Log collectors may put a prefix before the JSON object. */
function parseLine (line: string): LogLine[] {
  const start = line.indexOf('{"context":')
  if (start < 0) return []
  try {
    const { context, message, time } = JSON.parse(line.slice(start)) as { context: Record<string, unknown>, message: string, time: number }
    const fields = Object.fromEntries(Object.entries(context).filter(([name]) => !COMMON_FIELDS.has(name)))
    const host = String(context.host ?? context.hostId ?? '')
    return [{ wallMs: time, host, program: String(context.program ?? ''), eventNumber: Number(context.eventNumber), text: message, fields }]
  } catch {
    // The line was truncated when it was collected.
    return []
  }
}

function relatedLines (id: string, lines: LogLine[]): ShownLine[] {
  const own = lines.filter(line => mentions(line, id))
  const [first, last] = [Math.min(...own.map(({ wallMs }) => wallMs)), Math.max(...own.map(({ wallMs }) => wallMs))]
  const linkedIds = own.flatMap(({ fields }) => LINK_FIELDS.flatMap(name => (typeof fields[name] === 'string' ? [fields[name]] : [])))
  const endpointIds = new Set(own.map(({ fields }) => fields.endpointId))
  const hosts = new Set(own.map(({ host }) => host))
  const relationOf = (line: LogLine): Relation | undefined => {
    if (mentions(line, id)) return Relation.Own
    if (linkedIds.some(other => mentions(line, other))) return Relation.Linked
    // Concurrent changes matter only on hosts that logged the id.
    if (!hosts.has(line.host) || line.wallMs < first - LOOKBACK_MS || line.wallMs > last) return undefined
    if (LEADER_EVENTS.has(line.eventNumber)) return Relation.Concurrent
    return ENDPOINT_EVENTS.has(line.eventNumber) && endpointIds.has(line.fields.endpointId) ? Relation.Concurrent : undefined
  }
  const shown = lines.flatMap(line => {
    const relation = relationOf(line)
    return relation === undefined ? [] : [{ ...line, relation }]
  })
  return shown.sort((left, right) => left.wallMs - right.wallMs)
}

function mentions ({ fields }: LogLine, id: string): boolean {
  return Object.values(fields).some(value => value === id || (Array.isArray(value) && value.includes(id)))
}

const marks: Record<Relation, string> = { [Relation.Own]: '*', [Relation.Linked]: '+', [Relation.Concurrent]: ' ' }

/** Seconds since the first line, mark, host, program, event and fields. */
function describe ({ wallMs, host, program, eventNumber, text, fields, relation }: ShownLine, firstMs: number): string {
  const atS = ((wallMs - firstMs) / 1_000).toFixed(3)
  const fieldTexts = Object.entries(fields).map(([name, value]) => `${name}=${Array.isArray(value) ? value.join(',') : String(value)}`)
  return `${atS.padStart(8)} ${marks[relation]} ${host} ${program} ${eventNumber} ${text} ${fieldTexts.join(' ')}`
}
