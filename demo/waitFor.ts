/** Waits for conditions of other processes, which can only be asked. */
const POLL_MS = 50
/** Guards against hanging for ever; no verdict depends on it. */
const HANG_GUARD_MS = 120_000

/** Asks until the answer is neither undefined nor false. */
export async function waitFor<T> (what: string, ask: () => Promise<T | undefined | false> | T | undefined | false): Promise<T> {
  const givesUpAtMs = performance.now() + HANG_GUARD_MS
  for (;;) {
    const answer = await ask()
    if (answer !== undefined && answer !== false) return answer
    if (performance.now() > givesUpAtMs) throw new Error(`waited in vain for ${what}`)
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
}
