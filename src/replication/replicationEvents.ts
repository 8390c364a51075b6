/**
 * Log events of a replica, whichever program runs it: numbers 1010 to 1039.
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
  TornTailTruncated = 1023,
  Loaded = 1024,
  OwnLogApplied = 1025,
  VoterSilent = 1026,
  VoterRecovered = 1027,
  LinkClosed = 1028,
  LogFull = 1029,
  ClusterFormed = 1030,
  JoinRequested = 1031,
  MemberAdded = 1032,
  MemberPromoted = 1033,
  MemberRemoved = 1034,
  WaitingForMembers = 1035,
  DiskFull = 1036,
  MembersChanged = 1037,
  JoinRefused = 1038,
  MemberDemoted = 1039
}

export const replicationEventCatalogue: EventCatalogue = {
  [ReplicationEvent.LeaderFollowed]: { level: LogLevel.Info, text: 'This host follows another leader.', advice: 'Several per hour without restarts indicate slow disks or a bad network.' },
  [ReplicationEvent.LeadershipStarted]: { level: LogLevel.Info, text: 'This host became the leader.', advice: 'None.' },
  [ReplicationEvent.LeadershipEnded]: { level: LogLevel.Warn, text: 'This host is no longer the leader.', advice: 'Check the reason; a lost quorum means that most control hosts are down or disconnected.' },
  [ReplicationEvent.ElectionStarted]: { level: LogLevel.Info, text: 'This host started an election.', advice: 'None.' },
  [ReplicationEvent.HandedOver]: { level: LogLevel.Info, text: 'This host transfers its leadership to another host as planned.', advice: 'None.' },
  [ReplicationEvent.HandoverFailed]: { level: LogLevel.Warn, text: 'This host could not transfer its leadership: no other host was ready to lead.', advice: 'If this host stops, another one is elected after an election timeout; look for hosts that are down or lag behind.' },
  [ReplicationEvent.SnapshotTaken]: { level: LogLevel.Info, text: 'A snapshot was taken and the log compacted.', advice: 'None.' },
  [ReplicationEvent.SnapshotInstalled]: { level: LogLevel.Info, text: 'A snapshot from the leader was installed.', advice: 'None.' },
  [ReplicationEvent.StorageDamaged]: { level: LogLevel.Error, text: 'The data folder is damaged; its files were moved aside, and the host joins as a new replica.', advice: 'Check the disk. The old files remain in a folder damaged-… until you remove them. If this happens on most control hosts, stop and keep those folders.' },
  [ReplicationEvent.TornTailTruncated]: { level: LogLevel.Warn, text: 'An incomplete write was truncated from the end of the log.', advice: 'Expected after a crash or a power loss.' },
  [ReplicationEvent.Loaded]: { level: LogLevel.Info, text: 'The replica has loaded its data from disk and answers the other replicas.', advice: 'A long readMs indicates a slow disk, a long restoreMs a large state; if this line is missing after a start, the process ended while loading.' },
  [ReplicationEvent.OwnLogApplied]: { level: LogLevel.Info, text: 'The replica knows a leader and has applied everything that its own log held at startup.', advice: 'If this line is missing long after the start, this host knows no leader, or the snapshot that the leader sends does not arrive.' },
  [ReplicationEvent.VoterSilent]: { level: LogLevel.Warn, text: 'A voter has not answered this leader for an election timeout.', advice: 'Check that host. If answeringCount equals quorumCount, the next loss stops the store or control; if it is lower, it has stopped.' },
  [ReplicationEvent.VoterRecovered]: { level: LogLevel.Info, text: 'A voter that had stopped answering answers this leader again.', advice: 'None.' },
  [ReplicationEvent.LinkClosed]: { level: LogLevel.Warn, text: 'The connection to another replica was closed because calls over it got no reply in time; entries that were on their way are sent again.', advice: 'Check that host and the network. If this host is overloaded itself (3242, 3243), its replies wait in its own sockets.' },
  [ReplicationEvent.ClusterFormed]: { level: LogLevel.Info, text: 'A new cluster was formed.', advice: 'Expected once, at the very first start. If control held data before, stop and look for the old data folders.' },
  [ReplicationEvent.JoinRequested]: { level: LogLevel.Info, text: 'The host requests to join the cluster.', advice: 'If it repeats, the cluster has no leader, or the host id is in use.' },
  [ReplicationEvent.MemberAdded]: { level: LogLevel.Info, text: 'A replica was added as a learner.', advice: 'None.' },
  [ReplicationEvent.MemberPromoted]: { level: LogLevel.Info, text: 'A learner has caught up and became a voter.', advice: 'None.' },
  [ReplicationEvent.MemberDemoted]: { level: LogLevel.Info, text: 'A voter was demoted to a learner: there are enough voters without it.', advice: 'Expected after a voter came back that had been replaced in the meantime.' },
  [ReplicationEvent.MemberRemoved]: { level: LogLevel.Info, text: 'A replica was removed.', advice: 'None.' },
  [ReplicationEvent.WaitingForMembers]: { level: LogLevel.Info, text: 'The first start waits until all initial members answer.', advice: 'Start the control hosts that are listed.' },
  [ReplicationEvent.DiskFull]: { level: LogLevel.Error, text: 'The disk is full; the replica waits for free space and confirms nothing until then.', advice: 'Free space on the disk. The replica continues on its own.' },
  [ReplicationEvent.LogFull]: { level: LogLevel.Warn, text: 'More entries follow the latest snapshot than this host may hold in memory; further entries wait until the next snapshot is written.', advice: 'Check the speed of the disk. Entries that are not committed or not applied have the same effect: check that a quorum of hosts answers.' },
  [ReplicationEvent.MembersChanged]: { level: LogLevel.Info, text: 'The members changed, as known to this replica.', advice: 'Compare the voters with the running hosts: a voter that is permanently lost still counts towards the quorum, and a running host that is not listed does not count towards it.' },
  [ReplicationEvent.JoinRefused]: { level: LogLevel.Warn, text: 'The leader refused a replica that requested to join.', advice: 'Check the reason. The event repeats while the replica keeps requesting; a cluster that refuses its replacements does not survive the next losses.' }
}
