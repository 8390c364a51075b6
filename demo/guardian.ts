/**
 * Ends the processes of a demo or a test whose own process has died: it reads
 * process ids, one a line, and kills them when its input ends. A line with a
 * minus before the id takes it off the list.
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
    // It has ended already.
  }
}
