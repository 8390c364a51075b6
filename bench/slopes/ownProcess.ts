/**
 * Readings of the current process: live memory and processor time.
 */
const GC_ROUNDS = 3

/** Bytes in use on the heap and in external memory after garbage collection. */
export function liveBytes (): number {
  const collect = globalThis.gc
  if (!collect) throw new Error('live memory can only be read with --expose-gc')
  for (let round = 0; round < GC_ROUNDS; round++) collect()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}

/** Processor time used while `work` runs, in microseconds. */
export async function processorUs (work: () => Promise<void> | void): Promise<number> {
  const before = process.cpuUsage()
  await work()
  const used = process.cpuUsage(before)
  return used.user + used.system
}
