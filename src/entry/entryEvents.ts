/**
 * The numbered log events of an entry host, 2000 to 2299.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum EntryEvent {
  Started = 2000,
  Ready = 2001,
  StopStarted = 2002,
  StopServing = 2003,
  StopEnded = 2004,
  InvariantBroken = 2005,
  LeaseLost = 2006,
  LeaseHeld = 2007,
  PeerConnected = 2010,
  PeerDisconnected = 2011,
  EndpointJoined = 2020,
  EndpointLeft = 2021,
  EndpointLeaving = 2022,
  DirectoryRepaired = 2023,
  ForeignChunkDropped = 2030,
  StreamResumed = 2031,
  ForeignAnswerDropped = 2040,
  UnrepeatableUnknown = 2041,
  UnrepeatableNotRecorded = 2042
}

export const entryEventCatalogue: EventCatalogue = {
  [EntryEvent.Started]: { level: LogLevel.Info, text: 'The entry host has started.', advice: 'None.' },
  [EntryEvent.Ready]: { level: LogLevel.Info, text: 'Configuration and directory are known; new work is taken.', advice: 'None.' },
  [EntryEvent.StopStarted]: { level: LogLevel.Info, text: 'A planned stop has begun; the host leaves the advice.', advice: 'None.' },
  [EntryEvent.StopServing]: { level: LogLevel.Info, text: 'The last advice that named this host has expired; new work is refused.', advice: 'None.' },
  [EntryEvent.StopEnded]: { level: LogLevel.Info, text: 'The planned stop has ended.', advice: 'If requests were cut off, find what ran longer than maxStopMs.' },
  [EntryEvent.InvariantBroken]: { level: LogLevel.Error, text: 'An invariant is broken; the process stops.', advice: 'Restart it and report the message with the stack.' },
  [EntryEvent.LeaseLost]: { level: LogLevel.Warn, text: 'The configuration lease ran out; new work is refused.', advice: 'Check that this host reaches the control hosts, and that they have a leader.' },
  [EntryEvent.LeaseHeld]: { level: LogLevel.Info, text: 'The configuration lease is held.', advice: 'None.' },
  [EntryEvent.PeerConnected]: { level: LogLevel.Debug, text: 'A connection to another entry host is open.', advice: 'None.' },
  [EntryEvent.PeerDisconnected]: { level: LogLevel.Info, text: 'A connection to another entry host has closed.', advice: 'If it does not come back, check the network between the two.' },
  [EntryEvent.EndpointJoined]: { level: LogLevel.Info, text: 'An endpoint is in the directory.', advice: 'None.' },
  [EntryEvent.EndpointLeft]: { level: LogLevel.Warn, text: 'The lease of an endpoint has run out.', advice: 'Check whether the endpoint runs and reaches an entry host.' },
  [EntryEvent.EndpointLeaving]: { level: LogLevel.Info, text: 'An endpoint is leaving; it gets no new work.', advice: 'None.' },
  [EntryEvent.DirectoryRepaired]: { level: LogLevel.Info, text: 'A digest found records that had not arrived.', advice: 'If it repeats, check the network between the entry hosts.' },
  [EntryEvent.ForeignChunkDropped]: { level: LogLevel.Error, text: 'An engine sent a chunk under the id of another request; it was dropped.', advice: 'Report it to whoever runs the engine.' },
  [EntryEvent.StreamResumed]: { level: LogLevel.Info, text: 'A stream goes on at another engine.', advice: 'If it repeats, look for the engine that breaks off.' },
  [EntryEvent.ForeignAnswerDropped]: { level: LogLevel.Error, text: 'A service answered under the id of another request; the answer was dropped.', advice: 'Report it to whoever runs the service.' },
  [EntryEvent.UnrepeatableUnknown]: { level: LogLevel.Warn, text: 'Whether an unrepeatable request ran is unknown.', advice: 'Look it up at the service by its idempotency key.' },
  [EntryEvent.UnrepeatableNotRecorded]: { level: LogLevel.Warn, text: 'The answer of an unrepeatable request could not be recorded.', advice: 'Check the control hosts; a resend of the key will be told "unknown".' }
}
