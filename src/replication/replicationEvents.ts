/**
 * Log events of a replica of the log, whichever program runs it: 1010 to 1039.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum ReplicationEvent {
  LeaderFollowed = 1010,
  LeadershipStarted = 1011,
  LeadershipEnded = 1012,
  ElectionStarted = 1013,
  HandedOver = 1014,
  HandoverFailed = 1015,
  SnapshotTaken = 1020,
  SnapshotInstalled = 1021,
  StorageDamaged = 1022,
  TornTailCut = 1023,
  Loaded = 1024,
  OwnLogApplied = 1025,
  VoterSilent = 1026,
  VoterAnswers = 1027,
  ClusterFormed = 1030,
  JoinRequested = 1031,
  MemberAdded = 1032,
  MemberPromoted = 1033,
  MemberRemoved = 1034,
  WaitingForMembers = 1035,
  DiskFull = 1036,
  MembersKnown = 1037,
  JoinRefused = 1038,
  MemberDemoted = 1039
}

export const replicationEventCatalogue: EventCatalogue = {
  [ReplicationEvent.LeaderFollowed]: { level: LogLevel.Info, text: 'This host follows another leader.', advice: 'Several an hour without restarts point to slow disks or a bad network.' },
  [ReplicationEvent.LeadershipStarted]: { level: LogLevel.Info, text: 'This host leads.', advice: 'None.' },
  [ReplicationEvent.LeadershipEnded]: { level: LogLevel.Warn, text: 'This host no longer leads.', advice: 'Look at the reason; a lost quorum means that most control hosts are down or cut off.' },
  [ReplicationEvent.ElectionStarted]: { level: LogLevel.Info, text: 'This host stands for election.', advice: 'None.' },
  [ReplicationEvent.HandedOver]: { level: LogLevel.Info, text: 'This host stops leading as planned and asked another one to lead.', advice: 'None.' },
  [ReplicationEvent.HandoverFailed]: { level: LogLevel.Warn, text: 'This host stops leading, and no other one was ready to lead.', advice: 'Another one is elected after a time-out; look for hosts that are down or behind.' },
  [ReplicationEvent.SnapshotTaken]: { level: LogLevel.Info, text: 'A snapshot was taken and the log compacted.', advice: 'None.' },
  [ReplicationEvent.SnapshotInstalled]: { level: LogLevel.Info, text: 'A snapshot of the leader was installed.', advice: 'None.' },
  [ReplicationEvent.StorageDamaged]: { level: LogLevel.Error, text: 'The data folder is damaged; its files were set aside, and the host joins as a new replica.', advice: 'Check the disk. The old files stand in a folder damaged-… until you remove them. If this happens on most control hosts, stop and keep those folders.' },
  [ReplicationEvent.TornTailCut]: { level: LogLevel.Warn, text: 'A write that never ended was cut off the log.', advice: 'Expected after a crash or a loss of power.' },
  [ReplicationEvent.Loaded]: { level: LogLevel.Info, text: 'The replica has loaded what its disk holds and answers the others.', advice: 'A long readMs is a slow disk, a long restoreMs a large state; without this line after the start of the process, it was ended while it loaded.' },
  [ReplicationEvent.OwnLogApplied]: { level: LogLevel.Info, text: 'The replica knows a leader and has applied what its own log held at the start.', advice: 'If it is absent long after the start, this host knows no leader, or the leader sends it a snapshot that does not arrive.' },
  [ReplicationEvent.VoterSilent]: { level: LogLevel.Warn, text: 'A voter has not answered this leader for an election timeout.', advice: 'Look at that host. With answeringCount equal to quorumCount the next loss stops the store or control; with less, it has stopped.' },
  [ReplicationEvent.VoterAnswers]: { level: LogLevel.Info, text: 'A voter that was silent answers this leader again.', advice: 'None.' },
  [ReplicationEvent.ClusterFormed]: { level: LogLevel.Info, text: 'A new cluster was formed.', advice: 'Expected once, at the first start of all. If control held data before, stop and look for the old data folders.' },
  [ReplicationEvent.JoinRequested]: { level: LogLevel.Info, text: 'The host asks to join the cluster.', advice: 'If it repeats, the cluster has no leader, or the host id is in use.' },
  [ReplicationEvent.MemberAdded]: { level: LogLevel.Info, text: 'A replica was added as a learner.', advice: 'None.' },
  [ReplicationEvent.MemberPromoted]: { level: LogLevel.Info, text: 'A learner has caught up and votes.', advice: 'None.' },
  [ReplicationEvent.MemberDemoted]: { level: LogLevel.Info, text: 'A voter steps back: there are voters enough without it.', advice: 'Expected after a voter came back whose place was taken meanwhile.' },
  [ReplicationEvent.MemberRemoved]: { level: LogLevel.Info, text: 'A replica was removed.', advice: 'None.' },
  [ReplicationEvent.WaitingForMembers]: { level: LogLevel.Info, text: 'The first start waits until all initial members answer.', advice: 'Start the control hosts that are named.' },
  [ReplicationEvent.DiskFull]: { level: LogLevel.Error, text: 'The disk is full; the replica waits for room and confirms nothing meanwhile.', advice: 'Make room on the disk. The replica goes on by itself.' },
  [ReplicationEvent.MembersKnown]: { level: LogLevel.Info, text: 'The members as this replica knows them after a change.', advice: 'Compare the voters with the hosts that run: a voter that is gone for good counts towards the quorum, and a host that runs and is not named holds nothing that counts.' },
  [ReplicationEvent.JoinRefused]: { level: LogLevel.Warn, text: 'The leader did not take a replica in that asked to join.', advice: 'Read the reason. It is told again while the replica asks on; a cluster that refuses its replacements does not survive the next losses.' }
}
