/**
 * Log events of the batch store: 3200 to 3299.
 */
import { LogLevel, type EventCatalogue } from '../utils/logger.js'

export enum BatchEvent {
  Started = 3200,
  Stopping = 3201,
  BrokenInvariant = 3202,
  StoreAdopted = 3210,
  StoreJoinAsked = 3211,
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
  OrderGiven = 3250,
  OrderSettled = 3251,
  HostRetired = 3260,
  StepWaiting = 3270,
  StepEnded = 3271
}

export const batchEventCatalogue: EventCatalogue = {
  [BatchEvent.Started]: { level: LogLevel.Info, text: 'The store host has started.', advice: 'None.' },
  [BatchEvent.Stopping]: { level: LogLevel.Info, text: 'The store host stops as planned.', advice: 'None.' },
  [BatchEvent.BrokenInvariant]: { level: LogLevel.Error, text: 'A broken invariant or a failed disk stops the process.', advice: 'Read the error. With a failed or full disk, mend the disk or wipe the data folder and start again: the host joins as a new replica. Otherwise keep the data folder and report it.' },
  [BatchEvent.StoreAdopted]: { level: LogLevel.Info, text: 'This replica is one of the first members of the batch store.', advice: 'Expected once for a disk.' },
  [BatchEvent.StoreJoinAsked]: { level: LogLevel.Info, text: 'The host asks to join the batch store.', advice: 'If it repeats, the store has no leader or is full.' },
  [BatchEvent.BatchAccepted]: { level: LogLevel.Info, text: 'A batch was accepted and is on the disks of a quorum.', advice: 'None.' },
  [BatchEvent.BatchRefused]: { level: LogLevel.Warn, text: 'A batch was refused, or its fate is not known.', advice: 'Read the reason.' },
  [BatchEvent.BatchEnded]: { level: LogLevel.Info, text: 'A batch was ended by its submitter.', advice: 'None.' },
  [BatchEvent.BatchUnknown]: { level: LogLevel.Warn, text: 'A batch was asked for that this replica does not hold, though it had caught up with the leader.', advice: 'Search for the id: 3224 says when and why it was forgotten; 3220 without 3224 means that accepted data was lost: look at the members (1037) and starts (1024) of all store hosts since. Neither means that it was never accepted.' },
  [BatchEvent.BatchExpired]: { level: LogLevel.Info, text: 'A batch was forgotten, because its time was over.', advice: 'None, unless it came too early: decidedAtMs and acceptedAtMs are wall clocks of the leaders, and their difference is more than keptMs.' },
  [BatchEvent.ItemStarted]: { level: LogLevel.Info, text: 'An item was sent to an engine.', advice: 'None.' },
  [BatchEvent.ItemRunFailed]: { level: LogLevel.Warn, text: 'A run of an item ended before its output was whole.', advice: 'Look at the engine if it repeats.' },
  [BatchEvent.ItemFinished]: { level: LogLevel.Info, text: 'The output of an item is whole.', advice: 'None.' },
  [BatchEvent.ItemScored]: { level: LogLevel.Info, text: 'The reward call of an item has ended.', advice: 'None.' },
  [BatchEvent.ItemListed]: { level: LogLevel.Info, text: 'The result of an item has its position in the list.', advice: 'None.' },
  [BatchEvent.ItemAbandoned]: { level: LogLevel.Warn, text: 'An item was given up for good.', advice: 'Read the reason.' },
  [BatchEvent.ItemReused]: { level: LogLevel.Info, text: 'An item that returned in a later batch kept what it had.', advice: 'None.' },
  [BatchEvent.ItemMoved]: { level: LogLevel.Info, text: 'A run goes on at a faster engine.', advice: 'Look at the engine that was left if it repeats.' },
  [BatchEvent.ProgressNotReplicated]: { level: LogLevel.Info, text: 'Events of a run were not put into the replicated state; they come with the next ones.', advice: 'None, unless it repeats: then look for a lost quorum.' },
  [BatchEvent.DispatchStarted]: { level: LogLevel.Info, text: 'This host leads the batch store and runs its items.', advice: 'None.' },
  [BatchEvent.DispatchEnded]: { level: LogLevel.Info, text: 'This host no longer runs items.', advice: 'None.' },
  [BatchEvent.Overloaded]: { level: LogLevel.Warn, text: 'This leader has more to do than its processor takes: its timers are late, and it begins and moves no runs until they are not.', advice: 'Told once a second at most. For seconds on end, with 1012 behind it, the store is too small for what it runs: fewer items at once, or hosts with more processor.' },
  [BatchEvent.OrderGiven]: { level: LogLevel.Info, text: 'An engine was ordered to load a version of weights.', advice: 'None.' },
  [BatchEvent.OrderSettled]: { level: LogLevel.Info, text: 'What came of an order to an engine.', advice: 'Look at the engine if the version is not reached.' },
  [BatchEvent.StepWaiting]: { level: LogLevel.Info, text: 'What an open step waits for: its items by stage, and those without an engine by what keeps them from one.', advice: 'Told once a second for each open step. no_version: look at the orders (3250, 3251); engines_unfit: at what was left out (2660) and what loads; no_slot: the engines are full; turn for seconds: at 3242; held_back: at 2652; committing: look for a lost quorum.' },
  [BatchEvent.StepEnded]: { level: LogLevel.Info, text: 'A step has ended at this host: its submitter ended it, or it is not held any more.', advice: 'Compare openForMs with the time in which its results are due.' },
  [BatchEvent.HostRetired]: { level: LogLevel.Info, text: 'A store host was taken out of the members for its retirement.', advice: 'None.' }
}
