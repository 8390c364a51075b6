/**
 * Log events of the batch store: 3200 to 3299.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum BatchEvent {
  Started = 3200,
  Stopping = 3201,
  BrokenInvariant = 3202,
  StoreAdopted = 3210,
  StoreJoinRequested = 3211,
  BatchAccepted = 3220,
  BatchRefused = 3221,
  BatchEnded = 3222,
  BatchUnknown = 3223,
  BatchExpired = 3224,
  ItemStarted = 3230,
  ItemRunFailed = 3231,
  ItemFinished = 3232,
  ItemScored = 3233,
  ItemListed = 3234,
  ItemAbandoned = 3235,
  ItemReused = 3236,
  ItemMoved = 3237,
  ProgressNotReplicated = 3238,
  DispatchStarted = 3240,
  DispatchEnded = 3241,
  Overloaded = 3242,
  OrderSent = 3250,
  OrderSettled = 3251,
  HostRetired = 3260,
  StepWaiting = 3270,
  StepEnded = 3271
}

export const batchEventCatalogue: EventCatalogue = {
  [BatchEvent.Started]: { level: LogLevel.Info, text: 'The store host has started.', advice: 'None.' },
  [BatchEvent.Stopping]: { level: LogLevel.Info, text: 'The store host is shutting down.', advice: 'None.' },
  [BatchEvent.BrokenInvariant]: { level: LogLevel.Error, text: 'The process stops because of a violated invariant or a disk failure.', advice: 'Read the error. If the disk has failed or is full, repair it or delete the data folder and restart: the host joins as a new replica. Otherwise keep the data folder and report the error.' },
  [BatchEvent.StoreAdopted]: { level: LogLevel.Info, text: 'This replica is an initial member of the batch store.', advice: 'Expected once per disk.' },
  [BatchEvent.StoreJoinRequested]: { level: LogLevel.Info, text: 'The host requested to join the batch store.', advice: 'If this repeats, the store has no leader or no room for another member.' },
  [BatchEvent.BatchAccepted]: { level: LogLevel.Info, text: 'A batch was accepted and is stored on the disks of a quorum.', advice: 'None.' },
  [BatchEvent.BatchRefused]: { level: LogLevel.Warn, text: 'A batch was refused, or it is unknown whether it was committed.', advice: 'Read the reason.' },
  [BatchEvent.BatchEnded]: { level: LogLevel.Info, text: 'The submitter ended a batch.', advice: 'None.' },
  [BatchEvent.BatchUnknown]: { level: LogLevel.Warn, text: 'A request named a batch that this replica does not hold, although it had caught up with the leader.', advice: 'Search the logs for the batch id: 3224 shows when and why the batch was removed. 3220 without 3224 means that accepted data was lost: check the members (1037) and starts (1024) of all store hosts since then. Without either, the batch was never accepted.' },
  [BatchEvent.BatchExpired]: { level: LogLevel.Info, text: 'A batch was removed because its retention time was over.', advice: 'None, unless it was removed too early: decidedAtMs and acceptedAtMs are wall clocks of the leaders, and their difference exceeds keptMs.' },
  [BatchEvent.ItemStarted]: { level: LogLevel.Info, text: 'An item was sent to an engine.', advice: 'None.' },
  [BatchEvent.ItemRunFailed]: { level: LogLevel.Warn, text: 'A run of an item ended before its output was complete.', advice: 'Check the engine if this repeats.' },
  [BatchEvent.ItemFinished]: { level: LogLevel.Info, text: 'The output of an item is complete.', advice: 'None.' },
  [BatchEvent.ItemScored]: { level: LogLevel.Info, text: 'A reward call of an item has ended.', advice: 'None.' },
  [BatchEvent.ItemListed]: { level: LogLevel.Info, text: 'The result of an item was proposed for the result list of its batch; the outcome field tells whether it was listed.', advice: 'None.' },
  [BatchEvent.ItemAbandoned]: { level: LogLevel.Warn, text: 'An item was abandoned and gets no further attempt.', advice: 'Check the failed runs of the item (3231), or what its step waited for (3270).' },
  [BatchEvent.ItemReused]: { level: LogLevel.Info, text: 'An item reuses the output or the result that it has from an earlier batch or leader.', advice: 'None.' },
  [BatchEvent.ItemMoved]: { level: LogLevel.Info, text: 'A run moves to a faster engine.', advice: 'Check the engine that it left if this repeats.' },
  [BatchEvent.ProgressNotReplicated]: { level: LogLevel.Info, text: 'Events of a run were not written to the replicated state; they are sent again with the next ones.', advice: 'None, unless this repeats: then check whether the quorum is lost.' },
  [BatchEvent.DispatchStarted]: { level: LogLevel.Info, text: 'This host has become the leader of the batch store and runs its items.', advice: 'None.' },
  [BatchEvent.DispatchEnded]: { level: LogLevel.Info, text: 'This host no longer runs items.', advice: 'None.' },
  [BatchEvent.Overloaded]: { level: LogLevel.Warn, text: 'The processor of this leader is overloaded: its timers fire late, and it starts and moves no runs until they are on time again.', advice: 'Logged at most once a second. If it lasts for seconds and 1012 follows, the store is too small for its load: run fewer items at once, or use hosts with more processor capacity.' },
  [BatchEvent.OrderSent]: { level: LogLevel.Info, text: 'An engine was ordered to load a version of weights.', advice: 'None.' },
  [BatchEvent.OrderSettled]: { level: LogLevel.Info, text: 'An order to an engine to load weights has ended; the fields give its result.', advice: 'Check the engine if it did not reach the version.' },
  [BatchEvent.StepWaiting]: { level: LogLevel.Info, text: 'Progress of an open step: its items by stage, and the queued items by the reason for which they have no slot.', advice: 'Logged once a second for each open step. no_version: check the orders (3250, 3251). engines_unfit: check which engines were ejected (2660) or are loading weights. no_slot: the engines are full. turn for several seconds: check for 3242. held_back: check for 2652. committing: check whether the quorum is lost.' },
  [BatchEvent.StepEnded]: { level: LogLevel.Info, text: 'A step ended at this host: its submitter ended it, or this replica no longer holds it.', advice: 'Compare openForMs with the time within which its results are due.' },
  [BatchEvent.HostRetired]: { level: LogLevel.Info, text: 'A store host was removed from the members for its retirement.', advice: 'None.' }
}
