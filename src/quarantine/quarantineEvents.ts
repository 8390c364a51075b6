/**
 * Log events of requests that terminate endpoints: 2650 to 2669.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum QuarantineEvent {
  EndpointTerminated = 2650,
  RequestSuspected = 2651,
  RequestCondemned = 2652,
  RequestCleared = 2653,
  RequestWithheld = 2654,
  ReportFailed = 2655,
  SuspectsDropped = 2656
}

export const quarantineEventCatalogue: EventCatalogue = {
  [QuarantineEvent.EndpointTerminated]: { level: LogLevel.Warn, text: 'An endpoint terminated while this host ran the listed requests there.', advice: 'If it happens once, check the endpoint. If it repeats with the same digest, that request terminates it: see "A request is answered 502 at once" in OPERATIONS.md.' },
  [QuarantineEvent.RequestSuspected]: { level: LogLevel.Warn, text: 'A request is suspected: endpoints terminated while it ran there, alone or beside others.', advice: 'None yet: an answer clears the request on all hosts, a third termination condemns it.' },
  [QuarantineEvent.RequestCondemned]: { level: LogLevel.Error, text: 'A request is condemned: three endpoints terminated while they ran it, and no host sends it to an endpoint any more.', advice: 'Find the route and a try by the digest (2654) and the three terminations (2650); fix the endpoint, then lift the quarantine: `threaddrum quarantine lift DIGEST`.' },
  [QuarantineEvent.RequestCleared]: { level: LogLevel.Info, text: 'A request is cleared: it was answered after it had been suspected, or an operator lifted its quarantine.', advice: 'None.' },
  [QuarantineEvent.RequestWithheld]: { level: LogLevel.Warn, text: 'A condemned request was received again and withheld from all endpoints. Logged at most once in ten seconds for each digest; the metric counts all.', advice: 'As for 2652.' },
  [QuarantineEvent.ReportFailed]: { level: LogLevel.Warn, text: 'No quorum of the control hosts has recorded the terminations that this host reported; only this host applies them.', advice: 'Check for a lost quorum (1014) or a network partition between this host and the control hosts.' },
  [QuarantineEvent.SuspectsDropped]: { level: LogLevel.Warn, text: 'More requests ran on terminated endpoints than one report can hold; the rest was dropped.', advice: 'Expected when many endpoints terminate at once. Dropped requests that repeat are reported with their next termination.' }
}
