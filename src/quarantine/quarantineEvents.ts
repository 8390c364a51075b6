/**
 * Log events of requests under which endpoints end: 2650 to 2669.
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
  [QuarantineEvent.EndpointTerminated]: { level: LogLevel.Warn, text: 'An endpoint ended while this host ran the named requests there.', advice: 'Once, look at the endpoint. Again and again with the same digest: that request ends it, see "A request is answered 502 at once" in OPERATIONS.md.' },
  [QuarantineEvent.RequestSuspected]: { level: LogLevel.Warn, text: 'Endpoints ended under a request, or under others that ran beside it.', advice: 'None yet: an answer clears it everywhere, a third end condemns it.' },
  [QuarantineEvent.RequestCondemned]: { level: LogLevel.Error, text: 'A request under which three endpoints ended is sent to no more of them, by any host.', advice: 'Find the route and a try by the digest (2654), and the three ends (2650); mend the endpoint, then lift it: `threaddrum quarantine lift DIGEST`.' },
  [QuarantineEvent.RequestCleared]: { level: LogLevel.Info, text: 'A request that was suspected was answered, or an operator let it go.', advice: 'None.' },
  [QuarantineEvent.RequestWithheld]: { level: LogLevel.Warn, text: 'A condemned request came again and was sent to no endpoint. Told once in ten seconds for each digest; the metric counts all.', advice: 'As for 2652.' },
  [QuarantineEvent.ReportFailed]: { level: LogLevel.Warn, text: 'No quorum of the control hosts has noted the ends that this host saw; it goes by them alone.', advice: 'Look for a lost quorum (1014) or a cut between this host and the control hosts.' },
  [QuarantineEvent.SuspectsDropped]: { level: LogLevel.Warn, text: 'More requests ran on endpoints that ended than are reported.', advice: 'Expected when many endpoints go at once. Those that come again are reported with their next end.' }
}
