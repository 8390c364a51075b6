/**
 * Time windows in which usage is counted. Windows are numbered from the start of 1970
 * and are the same for all hosts, regardless of their clocks.
 */
export interface UsageWindow {
  windowId: number
  /** Number of started requests by client account. */
  counts: Record<string, number>
}

export function windowOf (wallMs: number, windowMs: number): number {
  return Math.floor(wallMs / windowMs)
}

export function windowEndsAtMs (windowId: number, windowMs: number): number {
  return (windowId + 1) * windowMs
}
