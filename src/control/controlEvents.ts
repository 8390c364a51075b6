/**
 * Log events of the control hosts: 1000 to 1999.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum ControlEvent {
  Started = 1000,
  Stopping = 1001,
  BrokenInvariant = 1002,
  LeaderFollowed = 1010,
  LeadershipBegun = 1011,
  LeadershipEnded = 1012,
  ElectionBegun = 1013,
  SnapshotTaken = 1020,
  SnapshotInstalled = 1021,
  StorageDamaged = 1022,
  TornTailCut = 1023,
  ClusterFormed = 1030,
  JoinAsked = 1031,
  MemberAdded = 1032,
  MemberPromoted = 1033,
  MemberRemoved = 1034,
  WaitingForMembers = 1035,
  EntryHostSilent = 1040
}

export const controlEventCatalogue: EventCatalogue = {
  [ControlEvent.Started]: { level: LogLevel.Info, text: 'The control host has started.', advice: 'None.' },
  [ControlEvent.Stopping]: { level: LogLevel.Info, text: 'The control host stops as planned.', advice: 'None.' },
  [ControlEvent.BrokenInvariant]: { level: LogLevel.Error, text: 'A broken invariant or a failed disk stops the process.', advice: 'Read the error. With a failed or full disk, mend the disk or wipe the data folder and start again: the host joins as a new replica. Otherwise keep the data folder and report it.' },
  [ControlEvent.LeaderFollowed]: { level: LogLevel.Info, text: 'This host follows another leader.', advice: 'Several an hour without restarts point to slow disks or a bad network.' },
  [ControlEvent.LeadershipBegun]: { level: LogLevel.Info, text: 'This host leads.', advice: 'None.' },
  [ControlEvent.LeadershipEnded]: { level: LogLevel.Warn, text: 'This host no longer leads.', advice: 'Look at the reason; a lost quorum means that most control hosts are down or cut off.' },
  [ControlEvent.ElectionBegun]: { level: LogLevel.Info, text: 'This host stands for election.', advice: 'None.' },
  [ControlEvent.SnapshotTaken]: { level: LogLevel.Info, text: 'A snapshot was taken and the log compacted.', advice: 'None.' },
  [ControlEvent.SnapshotInstalled]: { level: LogLevel.Info, text: 'A snapshot of the leader was installed.', advice: 'None.' },
  [ControlEvent.StorageDamaged]: { level: LogLevel.Error, text: 'The data folder is damaged; its files were set aside, and the host joins as a new replica.', advice: 'Check the disk. The old files stand in a folder damaged-… until you remove them. If this happens on most control hosts, stop and keep those folders.' },
  [ControlEvent.TornTailCut]: { level: LogLevel.Warn, text: 'A write that never ended was cut off the log.', advice: 'Expected after a crash or a loss of power.' },
  [ControlEvent.ClusterFormed]: { level: LogLevel.Info, text: 'A new cluster was formed.', advice: 'Expected once, at the first start of all. If control held data before, stop and look for the old data folders.' },
  [ControlEvent.JoinAsked]: { level: LogLevel.Info, text: 'The host asks to join the cluster.', advice: 'If it repeats, the cluster has no leader, or the host id is in use.' },
  [ControlEvent.MemberAdded]: { level: LogLevel.Info, text: 'A replica was added as a learner.', advice: 'None.' },
  [ControlEvent.MemberPromoted]: { level: LogLevel.Info, text: 'A learner has caught up and votes.', advice: 'None.' },
  [ControlEvent.MemberRemoved]: { level: LogLevel.Info, text: 'A replica was removed.', advice: 'None.' },
  [ControlEvent.WaitingForMembers]: { level: LogLevel.Info, text: 'The first start waits until all initial members answer.', advice: 'Start the control hosts that are named.' },
  [ControlEvent.EntryHostSilent]: { level: LogLevel.Warn, text: 'An entry host was silent for long and was struck from the configuration.', advice: 'Look at the host. It registers again by itself when it is back.' }
}
