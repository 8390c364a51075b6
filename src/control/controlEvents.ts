/**
 * Log events of the control hosts: 1000 to 1999.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum ControlEvent {
  Started = 1000,
  Stopping = 1001,
  BrokenInvariant = 1002,
  EntryHostSilent = 1040
}

export const controlEventCatalogue: EventCatalogue = {
  [ControlEvent.Started]: { level: LogLevel.Info, text: 'The control host has started.', advice: 'None.' },
  [ControlEvent.Stopping]: { level: LogLevel.Info, text: 'The control host stops as planned.', advice: 'None.' },
  [ControlEvent.BrokenInvariant]: { level: LogLevel.Error, text: 'A broken invariant or a failed disk stops the process.', advice: 'Read the error. With a failed or full disk, mend the disk or wipe the data folder and start again: the host joins as a new replica. Otherwise keep the data folder and report it.' },
  [ControlEvent.EntryHostSilent]: { level: LogLevel.Warn, text: 'An entry host was silent for long and was struck from the configuration.', advice: 'Look at the host. It registers again by itself when it is back.' }
}
