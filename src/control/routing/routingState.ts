/**
 * The part of the replicated state that holds the routing configuration, the
 * named weight versions, the initial members of the batch store, retirements,
 * the departures of endpoints, and the quarantine.
 */
import type { EndpointLeave } from '../../protocol/endpointLeaves.js'
import type { Routing } from '../../protocol/routing.js'
import {
  RetirementState, RoutingCommandKind, type NamedWeights, type Retirement, type RoutingCommand, type RoutingResult, type StoreGroup
} from '../../protocol/routingCommands.js'
import type { ApplyContext, StatePart } from '../../replication/replicatedState.js'
import { QuarantineState, type QuarantineSnapshot } from './quarantineState.js'
import { RecordedLeaves } from './recordedLeaves.js'

interface RoutingSnapshot {
  routing: Routing | undefined
  document: string | undefined
  weights: NamedWeights[]
  storeGroup: StoreGroup | undefined
  retirements: Retirement[]
  leaves: EndpointLeave[]
  /** Absent in snapshots of earlier builds. */
  ends: QuarantineSnapshot | undefined
}

/** The routing version before the first configuration. */
export const NO_ROUTING_VERSION = -1

export class RoutingState implements StatePart<RoutingCommand, RoutingResult> {
  routing: Routing | undefined
  /** The routing configuration as the operator sent it. */
  document: string | undefined
  storeGroup: StoreGroup | undefined
  readonly leaves = new RecordedLeaves()
  readonly ends = new QuarantineState()
  private readonly _weights = new Map<string, number>()
  private readonly _retirements = new Map<string, Retirement>()

  get version (): number {
    return this.routing?.version ?? NO_ROUTING_VERSION
  }

  namedWeights (): NamedWeights[] {
    return [...this._weights].map(([model, version]) => ({ model, version }))
  }

  retirements (): Retirement[] {
    return [...this._retirements.values()]
  }

  retirementOf (hostName: string): Retirement | undefined {
    return this._retirements.get(hostName)
  }

  apply (command: RoutingCommand, { atMs }: Pick<ApplyContext, 'atMs'>): RoutingResult {
    switch (command.kind) {
      case RoutingCommandKind.Replace:
        return this._replace(command.routing, command.document)
      case RoutingCommandKind.NameWeights:
        return this._nameWeights(command.model, command.version)
      case RoutingCommandKind.FormStore:
        this.storeGroup ??= command.group
        return { kind: 'storeFormed' }
      case RoutingCommandKind.StartRetirement:
        this._startRetirement(command.hostName, command.hostId)
        return { kind: 'retirementHeld' }
      case RoutingCommandKind.EndRetirement:
        this._endRetirement(command.hostName)
        return { kind: 'retirementHeld' }
      case RoutingCommandKind.RecordLeave:
        return { kind: 'leaveNoted', leave: this.leaves.record(command.leave) }
      case RoutingCommandKind.RecordEnds:
        this.ends.record(command.ends, atMs)
        return { kind: 'quarantineHeld' }
      case RoutingCommandKind.ClearSuspects:
        this.ends.clear(command.digests, atMs)
        return { kind: 'quarantineHeld' }
    }
  }

  snapshot (): RoutingSnapshot {
    return {
      routing: this.routing,
      document: this.document,
      weights: this.namedWeights(),
      storeGroup: this.storeGroup,
      retirements: this.retirements(),
      leaves: this.leaves.all(),
      ends: this.ends.snapshot()
    }
  }

  restore (snapshot: unknown): void {
    const { routing, document, weights, storeGroup, retirements, leaves, ends } = snapshot as RoutingSnapshot
    this.routing = routing ?? undefined
    this.document = document ?? undefined
    this.storeGroup = storeGroup ?? undefined
    this._weights.clear()
    for (const { model, version } of weights) this._weights.set(model, version)
    this._retirements.clear()
    for (const retirement of retirements) this._retirements.set(retirement.hostName, retirement)
    this.leaves.restore(leaves ?? [])
    if (ends) this.ends.restore(ends)
  }

  /** Only a newer version replaces the configuration; the first document of a version is final. */
  private _replace (routing: Routing, document: string): RoutingResult {
    if (routing.version > this.version) {
      this.routing = routing
      this.document = document
    }
    return { kind: 'routingHeld', version: this.version }
  }

  private _nameWeights (model: string, version: number): RoutingResult {
    const known = this._weights.get(model) ?? 0
    this._weights.set(model, Math.max(known, version))
    return { kind: 'weightsNamed', version: Math.max(known, version) }
  }

  private _startRetirement (hostName: string, hostId: string): void {
    if (this._retirements.has(hostName)) return
    this._retirements.set(hostName, { hostName, hostId, state: RetirementState.Serving })
  }

  private _endRetirement (hostName: string): void {
    const retirement = this._retirements.get(hostName)
    if (retirement) this._retirements.set(hostName, { ...retirement, state: RetirementState.Completed })
  }
}
