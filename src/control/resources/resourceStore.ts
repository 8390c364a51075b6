/**
 * The declared resources, with compare-and-set on the revision and one outcome
 * for each change id.
 */
import { ResourceCommandKind, type ResourceCommand, type ResourceResult } from '../../protocol/resourceCommands.js'
import { specSchemas, type Resource, type ResourceKind, type ResourceOf } from '../../protocol/resources.js'
import type { ApplyContext, StatePart } from '../../replication/replicatedState.js'
import type { ChangeHistory } from './changeHistory.js'
import { ChangeOutcomes, type ChangeOutcome } from './changeOutcomes.js'

/** Read access to resources by kind and name, for other parts of the replicated state. */
export interface ResourceLookup {
  get<K extends ResourceKind> (kind: K, name: string): ResourceOf<K> | undefined
  list<K extends ResourceKind> (kind: K): Array<ResourceOf<K>>
}

export type CheckedCommand =
  | { kind: 'valid', command: ResourceCommand }
  | { kind: 'invalid', result: ResourceResult }

/**
 * Checks the spec of a change and fills in defaults. This happens once, before the
 * command enters the log, so that its application does not depend on the schema
 * version of each control host.
 */
export function checkResourceCommand (command: ResourceCommand): CheckedCommand {
  if (command.kind === ResourceCommandKind.Delete) return { kind: 'valid', command }
  const parsed = specSchemas[command.resourceKind].safeParse(command.spec)
  if (parsed.success) return { kind: 'valid', command: { ...command, spec: parsed.data } }
  const issue = parsed.error.issues[0]
  const field = ['spec', ...(issue?.path ?? [])].join('.')
  return { kind: 'invalid', result: { kind: 'invalid', field, message: issue?.message ?? 'malformed' } }
}

interface ResourceStoreSnapshot {
  resources: Resource[]
  remembered: ChangeOutcome[]
}

export class ResourceStore implements StatePart<ResourceCommand, ResourceResult>, ResourceLookup {
  private readonly _history: ChangeHistory
  private readonly _resources = new Map<string, Resource>()
  private readonly _changeOutcomes = new ChangeOutcomes()

  constructor (history: ChangeHistory) {
    this._history = history
  }

  get<K extends ResourceKind> (kind: K, name: string): ResourceOf<K> | undefined {
    return this._resources.get(keyOf(kind, name)) as ResourceOf<K> | undefined
  }

  list<K extends ResourceKind> (kind: K): Array<ResourceOf<K>> {
    return this.all().filter(resource => resource.kind === kind) as Array<ResourceOf<K>>
  }

  all (): Resource[] {
    return [...this._resources.values()]
  }

  apply (command: ResourceCommand, _context: ApplyContext): ResourceResult {
    const lookup = this._changeOutcomes.lookUp(command)
    switch (lookup.kind) {
      case 'resent':
        return lookup.result
      case 'reused':
        return { kind: 'invalid', field: 'changeId', message: 'this change id belongs to another change' }
      case 'new': {
        const result = this._applyNew(command)
        this._changeOutcomes.record(command, result)
        return result
      }
    }
  }

  snapshot (): ResourceStoreSnapshot {
    return { resources: this.all(), remembered: this._changeOutcomes.snapshot() }
  }

  restore (snapshot: unknown): void {
    const { resources, remembered } = snapshot as ResourceStoreSnapshot
    this._resources.clear()
    for (const resource of resources) this._resources.set(keyOf(resource.kind, resource.name), resource)
    this._changeOutcomes.restore(remembered)
  }

  private _applyNew (command: ResourceCommand): ResourceResult {
    const currentRevision = this.get(command.resourceKind, command.name)?.revision ?? 0
    const expected = command.expectedRevision
    if (expected !== undefined && expected !== currentRevision) return { kind: 'conflict', currentRevision }
    switch (command.kind) {
      case ResourceCommandKind.Apply:
        return this._put(command.resourceKind, command.name, command.spec)
      case ResourceCommandKind.Delete:
        return currentRevision === 0 ? { kind: 'conflict', currentRevision } : this._delete(command.resourceKind, command.name)
    }
  }

  private _put (kind: ResourceKind, name: string, spec: unknown): ResourceResult {
    const revision = this._history.nextRevision
    const resource = { kind, name, revision, spec } as Resource
    this._resources.set(keyOf(kind, name), resource)
    this._history.record({ kind: 'put', revision, resource })
    return { kind: 'applied', revision, resource }
  }

  private _delete (resourceKind: ResourceKind, name: string): ResourceResult {
    const revision = this._history.nextRevision
    this._resources.delete(keyOf(resourceKind, name))
    this._history.record({ kind: 'deleted', revision, resourceKind, name })
    return { kind: 'deleted', revision }
  }
}

function keyOf (kind: ResourceKind, name: string): string {
  return `${kind}/${name}`
}
