/**
 * Log events about the start and the end of a process: 920 to 929. Every program
 * on a host includes them.
 */
import { LogLevel, type EventCatalogue } from './eventCatalogue.js'

export enum ProgramEvent {
  Ended = 920,
  HangupDuringStart = 921,
  SettingsUnusable = 922,
  SettingsUsable = 923,
  HangupIgnored = 924
}

export const programEventCatalogue: EventCatalogue = {
  [ProgramEvent.Ended]: { level: LogLevel.Info, text: 'The process ends because it was asked to, or because an address or its data folder changed in the settings before it served.', advice: 'reason stopped_during_start: nothing had been served; the data on disk is as after a kill. reason changed_settings: the same, and changedKeys names what changed; the process is to be started again, and reads the new settings. Without this line and without a broken invariant, something outside ended the process: SIGKILL, or a signal in the first moments of Node.js.' },
  [ProgramEvent.HangupDuringStart]: { level: LogLevel.Info, text: 'SIGHUP arrived during the start; the settings are looked at again.', advice: 'None.' },
  [ProgramEvent.SettingsUnusable]: { level: LogLevel.Warn, text: 'The settings cannot be used; the start waits until they can.', advice: 'Correct what the problem names. A file that is being written is whole a moment later: 923 follows.' },
  [ProgramEvent.SettingsUsable]: { level: LogLevel.Info, text: 'The settings can be used again.', advice: 'None; lastedMs says for how long they could not.' },
  [ProgramEvent.HangupIgnored]: { level: LogLevel.Info, text: 'SIGHUP arrived; this program reads its settings at its start only.', advice: 'To apply changed settings, restart the process.' }
}
