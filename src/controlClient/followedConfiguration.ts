/**
 * The configuration in force on one host, built from full listings and from
 * single changes. Revisions are applied in increasing order.
 */
import type { Stream } from 'most'
import type { ConfigurationChange, ConfigurationListing } from '../protocol/configuration.js'
import type { EntryHost } from '../protocol/hostCommands.js'
import type { ResourceEvent } from '../protocol/resourceCommands.js'
import type { Resource, ResourceKind, ResourceOf } from '../protocol/resources.js'
import { eventStream } from '../utils/eventStream.js'
import type { ConfigurationView } from './controlClient.js'

export class FollowedConfiguration implements ConfigurationView {
  private readonly _events = eventStream<ResourceEvent>()
  private readonly _resources = new Map<string, Resource>()
  private readonly _hosts = new Map<string, EntryHost>()
  private _revision = 0

  get revision (): number {
    return this._revision
  }

  get changes (): Stream<ResourceEvent> {
    return this._events.stream
  }

  get<K extends ResourceKind> (kind: K, name: string): ResourceOf<K> | undefined {
    return this._resources.get(keyOf(kind, name)) as ResourceOf<K> | undefined
  }

  list<K extends ResourceKind> (kind: K): Array<ResourceOf<K>> {
    return [...this._resources.values()].filter(resource => resource.kind === kind) as Array<ResourceOf<K>>
  }

  entryHosts (): EntryHost[] {
    return [...this._hosts.values()]
  }

  /** Applies changes that directly follow the current revision; changes already applied or after a gap are ignored. */
  applyChanges (changes: ConfigurationChange[]): void {
    for (const change of changes) {
      if (change.revision === this._revision + 1) this._apply(change)
    }
  }

  /** Replaces the whole configuration, unless the listing is not newer than the configuration in force. */
  applyListing (listing: ConfigurationListing): void {
    if (listing.revision <= this._revision) return
    const removed = new Map(this._resources)
    this._revision = listing.revision
    this._hosts.clear()
    for (const host of listing.hosts) this._hosts.set(host.hostId, host)
    const changed = listing.resources.filter(resource => this._replaces(resource, removed))
    for (const { kind, name } of removed.values()) this._resources.delete(keyOf(kind, name))
    for (const resource of changed) this._resources.set(keyOf(resource.kind, resource.name), resource)
    for (const { kind, name } of removed.values()) this._events.emit({ kind: 'deleted', revision: listing.revision, resourceKind: kind, name })
    for (const resource of changed) this._events.emit({ kind: 'put', revision: resource.revision, resource })
  }

  /** Whether a listed resource differs from the resource in force. Deletes the listed resource from `removed` as a side effect. */
  private _replaces (resource: Resource, removed: Map<string, Resource>): boolean {
    const key = keyOf(resource.kind, resource.name)
    const current = removed.get(key)
    removed.delete(key)
    return current?.revision !== resource.revision
  }

  private _apply (change: ConfigurationChange): void {
    this._revision = change.revision
    switch (change.kind) {
      case 'put':
        this._resources.set(keyOf(change.resource.kind, change.resource.name), change.resource)
        this._events.emit(change)
        return
      case 'deleted':
        this._resources.delete(keyOf(change.resourceKind, change.name))
        this._events.emit(change)
        return
      case 'hostPut':
        this._hosts.set(change.host.hostId, change.host)
        return
      case 'hostRemoved':
        this._hosts.delete(change.hostId)
    }
  }
}

function keyOf (kind: ResourceKind, name: string): string {
  return `${kind}/${name}`
}
