/**
 * Log events of duties, which are performed by one host at a time: 3300 to 3319.
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
  [DutyEvent.DutyClaimed]: { level: LogLevel.Info, text: 'This host has taken over a duty.', advice: 'Expected after each change of leader, one lease after the election. If it happens often, check why leaders are lost.' },
  [DutyEvent.CallEnded]: { level: LogLevel.Info, text: 'A call to the infrastructure has ended, or was not sent.', advice: 'Unknown: the call is repeated with the same content. Conflict: the infrastructure holds other content, or has no capacity now. Stale fence: another host has taken over.' },
  [DutyEvent.WindowClosed]: { level: LogLevel.Info, text: 'A usage window was closed: the counts reported for it no longer change.', advice: 'If it was not settled, some host had not reported all of its counts in time; check for disconnected hosts.' },
  [DutyEvent.WindowReported]: { level: LogLevel.Info, text: 'The usage of a window was reported to the infrastructure.', advice: 'If it is late, check the preceding calls (3301) and look for changes of the control leader.' },
  [DutyEvent.SupplyDecided]: { level: LogLevel.Info, text: 'The desired number of endpoints in a data centre has changed.', advice: 'Check the values that the decision was based on, and the call that follows.' }
}
