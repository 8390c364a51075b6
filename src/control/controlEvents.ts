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
  RetirementBegun = 1049,
  RetirementEnded = 1050,
  CommandUnanswered = 1051,
  AnnouncementRefused = 1052,
  LeaveConfirmed = 1053
}

export const controlEventCatalogue: EventCatalogue = {
  [ControlEvent.Started]: { level: LogLevel.Info, text: 'The control host has started.', advice: 'None.' },
  [ControlEvent.Stopping]: { level: LogLevel.Info, text: 'The control host stops as planned.', advice: 'None.' },
  [ControlEvent.BrokenInvariant]: { level: LogLevel.Error, text: 'A broken invariant or a failed disk stops the process.', advice: 'Read the error. With a failed or full disk, mend the disk or wipe the data folder and start again: the host joins as a new replica. Otherwise keep the data folder and report it.' },
  [ControlEvent.EntryHostSilent]: { level: LogLevel.Warn, text: 'An entry host was silent for long and was struck from the configuration.', advice: 'Look at the host. It registers again by itself when it is back.' },
  [ControlEvent.FollowerJoined]: { level: LogLevel.Info, text: 'A host follows this control host.', advice: 'None.' },
  [ControlEvent.FollowerLost]: { level: LogLevel.Warn, text: 'A host no longer follows this control host.', advice: 'Expected when the host stops. Otherwise look at the host and the network between.' },
  [ControlEvent.FollowerUnconfirmed]: { level: LogLevel.Warn, text: 'A follower did not confirm a change of an endpoint in time.', advice: 'The follower is told again when it reconnects; until then it may still use an endpoint that leaves.' },
  [ControlEvent.EndpointSilent]: { level: LogLevel.Warn, text: 'An endpoint sent no heartbeat for too long.', advice: 'Look at the endpoint. It is used again with its next heartbeat.' },
  [ControlEvent.EndpointChanged]: { level: LogLevel.Info, text: 'An endpoint announced itself anew, changed, or leaves.', advice: 'None.' },
  [ControlEvent.RoutingReplaced]: { level: LogLevel.Info, text: 'A routing configuration was handled.', advice: 'Compare the version with the outcome: an older version changes nothing.' },
  [ControlEvent.WeightsNamed]: { level: LogLevel.Info, text: 'A trainer named a version of weights.', advice: 'None.' },
  [ControlEvent.StoreFormed]: { level: LogLevel.Info, text: 'The first members of the batch store were decided.', advice: 'Expected once.' },
  [ControlEvent.RetirementBegun]: { level: LogLevel.Info, text: 'A store host is to be emptied.', advice: 'None.' },
  [ControlEvent.RetirementEnded]: { level: LogLevel.Info, text: 'A store host was emptied and may be taken away.', advice: 'None.' },
  [ControlEvent.CommandUnanswered]: { level: LogLevel.Warn, text: 'A command of a caller got no clear outcome in time.', advice: 'The caller sends it again. If it repeats, look for a lost quorum.' },
  [ControlEvent.AnnouncementRefused]: { level: LogLevel.Warn, text: 'What was announced of an endpoint cannot be read; it names no endpoint to use.', advice: 'Told once for each reason and then every ten seconds. Look at whoever writes it: the reason names the field.' },
  [ControlEvent.LeaveConfirmed]: { level: LogLevel.Info, text: 'An endpoint was told that it may leave: the log has noted it, and so many of this host\'s followers know.', advice: 'None. Followers that did not answer hear it from any control host that they follow.' }
}
