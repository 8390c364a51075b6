/**
 * The interface through which an entry host uses the control hosts. The production
 * client finds and follows the leader; tests use a client over an in-memory state.
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
  /** The command is not in the log and will not enter it later. */
  | { kind: 'notCommitted', reason: string }
  /** The command may be in the log. Commands are idempotent, so it can be sent again. */
  | { kind: 'unknown', reason: string }

export type QueryOutcome<R> = { kind: 'answered', result: R } | { kind: 'unavailable', reason: string }

/** The configuration in force on this host; its revision never decreases. */
export interface ConfigurationView {
  readonly revision: number
  get<K extends ResourceKind> (kind: K, name: string): ResourceOf<K> | undefined
  list<K extends ResourceKind> (kind: K): Array<ResourceOf<K>>
  /** All registered entry hosts, including this one. */
  entryHosts (): EntryHost[]
  /** Emits each change when it comes into force. */
  readonly changes: Stream<ResourceEvent>
}

export interface ControlClient {
  readonly configuration: ConfigurationView
  /** True while this host may accept new work under its configuration. */
  holdsLease (): boolean
  /** Waits for a lease renewal if a suspension of this machine has just ended the lease; returns at once otherwise. */
  awaitLeaseRenewal (scope: Scope): Promise<void>
  submit<C extends Command> (command: C, progress: Progress): Promise<SubmitOutcome<CommandResult<C>>>
  /** A linearizable read. */
  query<Q extends Query> (query: Q, progress: Progress): Promise<QueryOutcome<QueryResult<Q>>>
}

export type { Resource }
