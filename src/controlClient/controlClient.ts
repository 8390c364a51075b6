/**
 * What an entry host asks of the control hosts. The production client finds
 * the leader and follows it; tests use one over a single in-memory state.
 */
import type { Stream } from 'most'
import type { Command, CommandResult } from '../protocol/commands.js'
import type { Query, QueryResult } from '../protocol/queries.js'
import type { EntryHost } from '../protocol/hostCommands.js'
import type { ResourceEvent } from '../protocol/resourceCommands.js'
import type { Resource, ResourceKind, ResourceOf } from '../protocol/resources.js'
import type { Progress } from '../utils/progress.js'
import type { Scope } from '../utils/scope.js'

export type SubmitOutcome<R> =
  | { kind: 'committed', result: R }
  /** Certainly not in the log and never will be. */
  | { kind: 'notCommitted', reason: string }
  /** May be in the log; commands are idempotent, so it may be sent again. */
  | { kind: 'unknown', reason: string }

export type QueryOutcome<R> = { kind: 'answered', result: R } | { kind: 'unavailable', reason: string }

/** The configuration in force on this host; never goes back. */
export interface ConfigurationView {
  readonly revision: number
  get<K extends ResourceKind> (kind: K, name: string): ResourceOf<K> | undefined
  list<K extends ResourceKind> (kind: K): Array<ResourceOf<K>>
  /** Entry hosts that are registered, this one included. */
  entryHosts (): EntryHost[]
  /** Changes as they come into force. */
  readonly changes: Stream<ResourceEvent>
}

export interface ControlClient {
  readonly configuration: ConfigurationView
  /** True while this host may take new work under its configuration. */
  holdsLease (): boolean
  /** Waits for a lease that a suspension of this host's machine has just put in doubt; returns at once otherwise. */
  settleLease (scope: Scope): Promise<void>
  submit<C extends Command> (command: C, progress: Progress): Promise<SubmitOutcome<CommandResult<C>>>
  /** A linearizable read. */
  query<Q extends Query> (query: Q, progress: Progress): Promise<QueryOutcome<QueryResult<Q>>>
}

export type { Resource }
