/**
 * What one request holds of the room for contents: its body, or what is parsed of it.
 */
import type { ClientRoom, RoomMember } from './clientRoom.js'

export class ContentHold {
  heldBytes = 0
  private readonly _room: ClientRoom | undefined
  private readonly _member: RoomMember | undefined

  /** @param room where it counts; nowhere if undefined */
  constructor (room?: ClientRoom, member?: RoomMember) {
    this._room = room
    this._member = member
  }

  /** Changes what is held to so many bytes; false if there is no room for them, and then nothing changes. */
  set (bytes: number): boolean {
    const moreBytes = bytes - this.heldBytes
    if (moreBytes > 0 && this._room?.makeContentRoom(moreBytes, this.heldBytes, this._member) === false) return false
    this._room?.changeHeld(this.heldBytes, bytes)
    this.heldBytes = bytes
    return true
  }

  free (): void {
    this.set(0)
  }
}
