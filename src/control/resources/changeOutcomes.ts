/**
 * Outcomes of the latest changes by change id, so that a resent change returns its
 * first outcome. The latest 4,096 changes are retained, including conflicts; an
 * older id counts as new.
 */
import { createHash } from 'node:crypto'
import type { ResourceCommand, ResourceResult } from '../../protocol/resourceCommands.js'

export const MAX_OUTCOMES_COUNT = 4096

export interface ChangeOutcome {
  changeId: string
  /** Distinguishes a resent change from a different one under the same id. */
  contentHash: string
  result: ResourceResult
}

export type ChangeLookup =
  | { kind: 'new' }
  | { kind: 'resent', result: ResourceResult }
  /** The id belongs to a change with other content. */
  | { kind: 'reused' }

export class ChangeOutcomes {
  private readonly _byId = new Map<string, ChangeOutcome>()

  lookUp (command: ResourceCommand): ChangeLookup {
    const known = this._byId.get(command.changeId)
    if (!known) return { kind: 'new' }
    if (known.contentHash !== contentHash(command)) return { kind: 'reused' }
    return { kind: 'resent', result: known.result }
  }

  record (command: ResourceCommand, result: ResourceResult): void {
    this._byId.set(command.changeId, { changeId: command.changeId, contentHash: contentHash(command), result })
    if (this._byId.size <= MAX_OUTCOMES_COUNT) return
    const [oldest = ''] = this._byId.keys()
    this._byId.delete(oldest)
  }

  snapshot (): ChangeOutcome[] {
    return [...this._byId.values()]
  }

  restore (changes: ChangeOutcome[]): void {
    this._byId.clear()
    for (const change of changes) this._byId.set(change.changeId, change)
  }
}

function contentHash (command: ResourceCommand): string {
  const { changeId: _changeId, ...content } = command
  return createHash('sha256').update(JSON.stringify(content, sortedKeys)).digest('base64').slice(0, 22)
}

/** Makes the text of an object independent of the order of its keys. */
function sortedKeys (_key: string, value: unknown): unknown {
  if (typeof value !== 'object' || value === null || Array.isArray(value)) return value
  return Object.fromEntries(Object.entries(value).sort(([left], [right]) => (left < right ? -1 : 1)))
}
