/**
 * Log events of the duties of one host at a time: 3300 to 3319.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum DutyEvent {
  DutyClaimed = 3300,
  CallEnded = 3301,
  WindowClosed = 3302,
  WindowReported = 3303,
  SupplyDecided = 3310
}

export const dutyEventCatalogue: EventCatalogue = {
  [DutyEvent.DutyClaimed]: { level: LogLevel.Info, text: 'This host has taken over a duty.', advice: 'Expected after each change of leader, a lease after the election. Often: look for lost leaders.' },
  [DutyEvent.CallEnded]: { level: LogLevel.Info, text: 'A call to the infrastructure has ended, or was not sent.', advice: 'Unknown: it is repeated with the same content. Conflict: other content holds, or nothing is to be had now. Stale fence: another host has taken over.' },
  [DutyEvent.WindowClosed]: { level: LogLevel.Info, text: 'The use in a window was closed: what is reported of it stays the same from now on.', advice: 'Not settled: some host had not told all of it in time; look for hosts that are cut off.' },
  [DutyEvent.WindowReported]: { level: LogLevel.Info, text: 'The infrastructure has the use of a window.', advice: 'Late: look at the calls before, and for changes of the control leader.' },
  [DutyEvent.SupplyDecided]: { level: LogLevel.Info, text: 'The number of endpoints to be had in a data centre has changed.', advice: 'Read what the decision went by; see the call that follows.' }
}
