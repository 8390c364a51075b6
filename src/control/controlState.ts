/**
 * The complete replicated state of the control hosts: resources, registered
 * hosts with fencing numbers, routing, usage and the ledgers. Each command is
 * applied by the part that owns it.
 */
import type { ConfigurationListing } from '../protocol/configuration.js'
import type { AnyCommandResult, Command } from '../protocol/commands.js'
import { HostCommandKind, type HostCommand } from '../protocol/hostCommands.js'
import { QueryKind, type Query, type QueryResult } from '../protocol/queries.js'
import { ResourceCommandKind, type ResourceCommand } from '../protocol/resourceCommands.js'
import { UnrepeatableCommandKind, type UnrepeatableCommand } from '../protocol/unrepeatableCommands.js'
import { RoutingCommandKind, type RoutingCommand } from '../protocol/routingCommands.js'
import { UsageLedger } from '../duties/usageLedger.js'
import { UsageCommandKind, type UsageCommand } from '../protocol/usage.js'
import { unreachable } from '../utils/errors.js'
import { HostRegistry } from './hosts/hostRegistry.js'
import type { Ledgers, LedgersFactory } from './ledgers/ledgers.js'
import type { ApplyContext, ReplicatedState, SnapshotPieces } from '../replication/replicatedState.js'
import { ChangeHistory, type ChangeHistorySnapshot } from './resources/changeHistory.js'
import { checkResourceCommand, ResourceStore } from './resources/resourceStore.js'
import { RoutingState } from './routing/routingState.js'

interface ControlStateSnapshot {
  history: ChangeHistorySnapshot
  resources: unknown
  hosts: unknown
  unrepeatable: unknown
  rollouts: unknown
  routing: unknown
  /** Absent in snapshots of earlier builds. */
  usage: unknown
}

const resourceKinds = new Set<string>(Object.values(ResourceCommandKind))
const hostKinds = new Set<string>(Object.values(HostCommandKind))
const routingKinds = new Set<string>(Object.values(RoutingCommandKind))
const usageKinds = new Set<string>(Object.values(UsageCommandKind))
const unrepeatableKinds = new Set<string>(Object.values(UnrepeatableCommandKind))

export class ControlState implements ReplicatedState<Command, AnyCommandResult> {
  readonly history = new ChangeHistory()
  readonly resources = new ResourceStore(this.history)
  readonly hosts = new HostRegistry(this.history)
  readonly routing = new RoutingState()
  readonly usage = new UsageLedger()
  private readonly _ledgers: Ledgers

  constructor (createLedgers: LedgersFactory) {
    this._ledgers = createLedgers(this.resources)
  }

  /** Revision of the configuration. */
  get revision (): number {
    return this.history.revision
  }

  apply (command: Command, context: ApplyContext): AnyCommandResult {
    if (isResourceCommand(command)) return this.resources.apply(command, context)
    if (isHostCommand(command)) return this.hosts.apply(command, context)
    if (isRoutingCommand(command)) return this.routing.apply(command, context)
    if (isUsageCommand(command)) return this.usage.apply(command)
    if (isUnrepeatableCommand(command)) return this._ledgers.unrepeatable.apply(command, context)
    return this._ledgers.rollouts.apply(command, context)
  }

  answer<Q extends Query> (query: Q): QueryResult<Q>
  answer (query: Query): QueryResult<Query> {
    switch (query.kind) {
      case QueryKind.Unrepeatable:
        return this._ledgers.unrepeatable.stateOf(query.callerName, query.idempotencyKey)
      case QueryKind.RolloutProgress:
        return this._ledgers.rollouts.progress(query.job)
      default:
        return unreachable(query)
    }
  }

  listing (): ConfigurationListing {
    return { revision: this.revision, resources: this.resources.all(), hosts: this.hosts.all() }
  }

  /** A copy in one piece: the state is modified in place and is small compared with that of a batch store. */
  snapshot (): SnapshotPieces {
    const sections: ControlStateSnapshot = {
      history: this.history.snapshot(),
      resources: this.resources.snapshot(),
      hosts: this.hosts.snapshot(),
      unrepeatable: this._ledgers.unrepeatable.snapshot(),
      rollouts: this._ledgers.rollouts.snapshot(),
      routing: this.routing.snapshot(),
      usage: this.usage.snapshot()
    }
    return [structuredClone(sections)]
  }

  /** Returns the piece itself: the state is too small for a search for unchanged pieces to pay off. */
  reuse (piece: unknown): unknown {
    return piece
  }

  restore (pieces: readonly unknown[]): void {
    const [sections] = pieces as [ControlStateSnapshot]
    this.history.restore(sections.history)
    this.resources.restore(sections.resources)
    this.hosts.restore(sections.hosts)
    this._ledgers.unrepeatable.restore(sections.unrepeatable)
    this._ledgers.rollouts.restore(sections.rollouts)
    if (sections.routing !== undefined) this.routing.restore(sections.routing)
    if (sections.usage !== undefined) this.usage.restore(sections.usage)
  }
}

export type CheckOutcome = { kind: 'valid', command: Command } | { kind: 'answered', result: AnyCommandResult }

/** Checks a command on the leader before it enters the log. */
export function checkCommand (command: Command): CheckOutcome {
  if (!isResourceCommand(command)) return { kind: 'valid', command }
  const checked = checkResourceCommand(command)
  return checked.kind === 'valid' ? checked : { kind: 'answered', result: checked.result }
}

function isResourceCommand (command: Command): command is ResourceCommand {
  return resourceKinds.has(command.kind)
}

function isHostCommand (command: Command): command is HostCommand {
  return hostKinds.has(command.kind)
}

function isRoutingCommand (command: Command): command is RoutingCommand {
  return routingKinds.has(command.kind)
}

function isUsageCommand (command: Command): command is UsageCommand {
  return usageKinds.has(command.kind)
}

function isUnrepeatableCommand (command: Command): command is UnrepeatableCommand {
  return unrepeatableKinds.has(command.kind)
}
