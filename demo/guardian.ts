/**
 * Kills leftover processes of a demo or test that has exited or crashed. Reads
 * process ids from standard input, one per line, and kills them when the input
 * ends. A line with a minus sign before the id removes it from the list.
 */
import { createInterface } from 'node:readline'

const pids = new Set<number>()

process.on('SIGINT', () => {})
for await (const line of createInterface({ input: process.stdin })) {
  const pid = Number(line)
  if (pid > 0) pids.add(pid)
  else pids.delete(-pid)
}
for (const pid of pids) {
  try {
    process.kill(pid, 'SIGKILL')
  } catch {
    // The process has already exited.
  }
}
