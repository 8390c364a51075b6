/**
 * Types of the catalogue of numbered log events.
 */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error'
}

/** One entry of the catalogue of log events. */
export interface EventDescription {
  level: LogLevel
  /** What happened, in one sentence; also the message of the log line. */
  text: string
  /** What the on-call engineer should do about it. */
  advice: string
}

export type EventCatalogue = Record<number, EventDescription>
