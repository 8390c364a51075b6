/**
 * Structured logs by roarr, one JSON line an event on standard error. Every
 * event has a number; the enums of numbers and their texts stand with the
 * layer that emits them, and docs/LOG-EVENTS.md is made from them.
 */
import './enableRoarr.js'
import { Roarr, ROARR } from 'roarr'

ROARR.write = () => {}

export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error'
}

/** One entry of the catalogue of log events. */
export interface EventDescription {
  level: LogLevel
  /** What happened, in one sentence; also the message of the line. */
  text: string
  /** What whoever is on call does about it. */
  advice: string
}

export type EventCatalogue = Record<number, EventDescription>

export type LogFields = Record<string, string | number | boolean | null | string[] | undefined>

export interface Logger {
  /** Writes an event with its fields; the level comes from the catalogue. */
  event (number: number, fields?: LogFields): void
  child (fields: LogFields): Logger
}

/** Directs roarr's lines to a writer; without a call nothing is written. */
export function writeLogsTo (write: (line: string) => void): void {
  ROARR.write = line => write(`${line}\n`)
}

export function createLogger (catalogue: EventCatalogue, context: LogFields): Logger {
  return {
    event (number, fields = {}) {
      const description = catalogue[number]
      const level = description?.level ?? LogLevel.Error
      const text = description?.text ?? 'event missing from the catalogue'
      Roarr[level]({ ...context, eventNumber: number, ...fields }, text)
    },
    child: fields => createLogger(catalogue, { ...context, ...fields })
  }
}

/** Writes nothing: for tests and benchmarks. */
export const silentLogger: Logger = {
  event () {},
  child: () => silentLogger
}
