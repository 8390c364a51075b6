/**
 * The output of an item as it grows: the data of its events, and the versions
 * of the weights that made them. Events count from 1 without a gap.
 */
import type { ItemEvent } from '../endpoints/endpointClient.js'
import { invariant } from '../utils/errors.js'

export class ItemOutput {
  private _data: string[] = []
  private _versions: number[] = []

  /** Id of the last event held; 0 before the first. */
  get lastEventId (): number {
    return this._data.length
  }

  get text (): string {
    return this._data.join('\n')
  }

  /** Each version once, in order. */
  get versions (): number[] {
    return [...new Set(this._versions)].sort((left, right) => left - right)
  }

  add ({ id, data, version }: ItemEvent): void {
    invariant(id === this.lastEventId + 1, `event ${id} after ${this.lastEventId}`)
    this._data.push(data)
    if (this._versions.at(-1) !== version) this._versions.push(version)
  }

  /** Whether every event was made by a version at least this new. */
  isMadeSince (version: number): boolean {
    return this._versions.every(made => made >= version)
  }

  clear (): void {
    this._data = []
    this._versions = []
  }
}
