/**
 * What the catalogue of numbered log events says of each one.
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
  /** What happened, in one sentence; also the message of the line. */
  text: string
  /** What whoever is on call does about it. */
  advice: string
}

export type EventCatalogue = Record<number, EventDescription>
