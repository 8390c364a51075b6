/**
 * The registered entry hosts, which are part of the configuration, and the
 * fencing numbers.
 */
import { HostCommandKind, type EntryHost, type HostCommand, type HostResult } from '../../protocol/hostCommands.js'
import type { ApplyContext, StatePart } from '../../replication/replicatedState.js'
import type { ChangeHistory } from '../resources/changeHistory.js'
import { FenceRegistry } from './fenceRegistry.js'

interface RegisteredHost {
  host: EntryHost
  revision: number
}

interface HostRegistrySnapshot {
  hosts: RegisteredHost[]
  fences: unknown
}

export class HostRegistry implements StatePart<HostCommand, HostResult> {
  private readonly _history: ChangeHistory
  private readonly _hosts = new Map<string, RegisteredHost>()
  private readonly _fences = new FenceRegistry()

  constructor (history: ChangeHistory) {
    this._history = history
  }

  get (hostId: string): EntryHost | undefined {
    return this._hosts.get(hostId)?.host
  }

  all (): EntryHost[] {
    return [...this._hosts.values()].map(({ host }) => host)
  }

  apply (command: HostCommand, context: ApplyContext): HostResult {
    switch (command.kind) {
      case HostCommandKind.Register:
        return this._register(command.host)
      case HostCommandKind.Remove:
        return this._remove(command.hostId, command.incarnation)
      case HostCommandKind.AcquireFence:
        return this._fences.acquire(command.fenceScope, command.holder, context)
    }
  }

  snapshot (): HostRegistrySnapshot {
    return { hosts: [...this._hosts.values()], fences: this._fences.snapshot() }
  }

  restore (snapshot: unknown): void {
    const { hosts, fences } = snapshot as HostRegistrySnapshot
    this._hosts.clear()
    for (const registered of hosts) this._hosts.set(registered.host.hostId, registered)
    this._fences.restore(fences)
  }

  private _register (host: EntryHost): HostResult {
    const known = this._hosts.get(host.hostId)
    if (known && known.host.incarnation > host.incarnation) return { kind: 'olderIncarnation' }
    if (known && known.host.incarnation === host.incarnation) return { kind: 'registered', revision: known.revision }
    const revision = this._history.nextRevision
    this._hosts.set(host.hostId, { host, revision })
    this._history.record({ kind: 'hostPut', revision, host })
    return { kind: 'registered', revision }
  }

  /** The removal of an older incarnation does not affect the current one. */
  private _remove (hostId: string, incarnation: number): HostResult {
    const known = this._hosts.get(hostId)
    if (!known) return { kind: 'removed' }
    if (known.host.incarnation > incarnation) return { kind: 'olderIncarnation' }
    this._hosts.delete(hostId)
    this._history.record({ kind: 'hostRemoved', revision: this._history.nextRevision, hostId })
    return { kind: 'removed' }
  }
}
