/**
 * Structured logging with roarr, one JSON line per event. Every event has a
 * number. The enums of numbers and their texts are declared in the layer that
 * emits them, and docs/LOG-EVENTS.md is generated from them.
 */
import './enableRoarr.js'
import { Roarr, ROARR } from 'roarr'
import { LogLevel, type EventCatalogue } from './eventCatalogue.js'
import { listenEventCatalogue } from './listenEvents.js'
import { LogEvent, logEventCatalogue } from './logEvents.js'

export { LogLevel, type EventCatalogue, type EventDescription } from './eventCatalogue.js'

ROARR.write = () => {}
// Its listener on standard output throws each error but a closed pipe, which would end the process.
ROARR.teardown?.()

export type LogFields = Record<string, string | number | boolean | null | string[] | undefined>

export interface Logger {
  /** Writes an event with its fields; the level comes from the catalogue. */
  event (number: number, fields?: LogFields): void
  child (fields: LogFields): Logger
}

/** Passes roarr's lines to a writer; nothing is written until this is called. */
export function writeLogsTo (write: (line: string) => void): void {
  ROARR.write = line => write(`${line}\n`)
}

/** Limits the volume of a log. */
export interface LineBudget {
  admits (level: LogLevel): boolean
  /** Counts of the dropped lines; undefined when no report is due. */
  takeReport (): LogFields | undefined
}

/** @param budget limits the number of lines; without it every line is written */
export function createLogger (catalogue: EventCatalogue, context: LogFields, budget?: LineBudget): Logger {
  const events: EventCatalogue = { ...catalogue, ...logEventCatalogue, ...listenEventCatalogue }
  const write = (number: number, fields: LogFields): void => {
    const text = events[number]?.text ?? 'event missing from the catalogue'
    Roarr[levelOf(number)]({ ...context, eventNumber: number, ...fields }, text)
  }
  const levelOf = (number: number): LogLevel => events[number]?.level ?? LogLevel.Error
  return {
    event (number, fields = {}) {
      if (budget && !budget.admits(levelOf(number))) return
      const dropped = budget?.takeReport()
      if (dropped) write(LogEvent.LinesDropped, dropped)
      write(number, fields)
    },
    child: fields => createLogger(catalogue, { ...context, ...fields }, budget)
  }
}

/** Writes nothing: for tests and benchmarks. */
export const silentLogger: Logger = {
  event () {},
  child: () => silentLogger
}
