/**
 * Opens connections to addresses that come from elsewhere and may be none.
 */
import { connect, type Socket } from 'node:net'
import { parseAddress } from './settings.js'

/** Undefined if the address is none, for which `connect` throws. */
export function openSocket (address: string): Socket | undefined {
  try {
    return connect({ ...parseAddress(address), noDelay: true })
  } catch {
    // The caller treats it as an address that nobody answers at, and names it.
    return undefined
  }
}
