/** Waits for conditions of other processes by polling. */
const POLL_MS = 50
/** Prevents a wait from hanging forever; no test result depends on the value. */
const HANG_GUARD_MS = 120_000

/** Polls until the result is neither undefined nor false. */
export async function waitFor<T> (what: string, poll: () => Promise<T | undefined | false> | T | undefined | false): Promise<T> {
  const timeoutAtMs = performance.now() + HANG_GUARD_MS
  for (;;) {
    const answer = await poll()
    if (answer !== undefined && answer !== false) return answer
    if (performance.now() > timeoutAtMs) throw new Error(`timed out waiting for ${what} after ${HANG_GUARD_MS} ms`)
    await new Promise(resolve => setTimeout(resolve, POLL_MS))
  }
}
