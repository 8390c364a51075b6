/**
 * Log events of the control hosts: 1000 to 1999.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum ControlEvent {
  Started = 1000,
  Stopping = 1001,
  BrokenInvariant = 1002,
  EntryHostSilent = 1040,
  FollowerJoined = 1041,
  FollowerLost = 1042,
  FollowerUnconfirmed = 1043,
  EndpointSilent = 1044,
  EndpointChanged = 1045,
  RoutingReplaced = 1046,
  WeightsNamed = 1047,
  StoreFormed = 1048,
  RetirementStarted = 1049,
  RetirementEnded = 1050,
  CommandUnanswered = 1051,
  AnnouncementRefused = 1052,
  LeaveConfirmed = 1053,
  ServiceFiguresHeld = 1054
}

export const controlEventCatalogue: EventCatalogue = {
  [ControlEvent.Started]: { level: LogLevel.Info, text: 'The control host has started.', advice: 'None.' },
  [ControlEvent.Stopping]: { level: LogLevel.Info, text: 'The control host is performing a planned stop.', advice: 'None.' },
  [ControlEvent.BrokenInvariant]: { level: LogLevel.Error, text: 'The process stops because of a violated invariant or a disk failure.', advice: 'Read the error. If the disk has failed or is full, repair it or delete the data folder and restart: the host joins as a new replica. Otherwise keep the data folder and report the error.' },
  [ControlEvent.EntryHostSilent]: { level: LogLevel.Warn, text: 'An entry host did not renew its lease for too long and was removed from the configuration.', advice: 'Check the host. It registers again automatically when it reconnects.' },
  [ControlEvent.FollowerJoined]: { level: LogLevel.Info, text: 'A host started to follow this control host.', advice: 'None.' },
  [ControlEvent.FollowerLost]: { level: LogLevel.Warn, text: 'A host no longer follows this control host.', advice: 'Expected when the host stops. Otherwise check the host and the network.' },
  [ControlEvent.FollowerUnconfirmed]: { level: LogLevel.Warn, text: 'A follower did not confirm the leave of an endpoint in time.', advice: 'The follower receives the leave again when it reconnects; until then it may still send requests to the leaving endpoint.' },
  [ControlEvent.EndpointSilent]: { level: LogLevel.Warn, text: 'An endpoint sent no heartbeat for too long.', advice: 'Check the endpoint. It is used again after its next heartbeat.' },
  [ControlEvent.EndpointChanged]: { level: LogLevel.Info, text: 'An endpoint is new, has changed, or is leaving.', advice: 'None.' },
  [ControlEvent.RoutingReplaced]: { level: LogLevel.Info, text: 'A routing configuration was processed.', advice: 'Compare the version with the outcome: an older version has no effect.' },
  [ControlEvent.WeightsNamed]: { level: LogLevel.Info, text: 'A trainer named a weight version.', advice: 'None.' },
  [ControlEvent.StoreFormed]: { level: LogLevel.Info, text: 'The initial members of the batch store were chosen.', advice: 'Expected once.' },
  [ControlEvent.RetirementStarted]: { level: LogLevel.Info, text: 'The retirement of a store host has started; its data is moved to other hosts.', advice: 'None.' },
  [ControlEvent.RetirementEnded]: { level: LogLevel.Info, text: 'A store host holds no data any more and can be removed.', advice: 'None.' },
  [ControlEvent.CommandUnanswered]: { level: LogLevel.Warn, text: 'The outcome of a command was not confirmed in time.', advice: 'The caller retries it. If the event recurs, check whether the control hosts have lost their quorum.' },
  [ControlEvent.AnnouncementRefused]: { level: LogLevel.Warn, text: 'An endpoint announcement is malformed and was rejected.', advice: 'Logged once for each reason, then every ten seconds. Check the sender of the announcement: the reason names the field.' },
  [ControlEvent.LeaveConfirmed]: { level: LogLevel.Info, text: 'The leave of an endpoint was recorded in the log and confirmed to the endpoint; the counts tell how many of this host\'s followers have confirmed it.', advice: 'None. Followers that did not confirm receive the leave from any control host that they follow.' },
  [ControlEvent.ServiceFiguresHeld]: { level: LogLevel.Info, text: 'This control host has begun, or has ceased, to sum the figures of a service that lacks room.', advice: 'None.' }
}
