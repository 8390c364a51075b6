/** The record of a case: what was sent, answered and run, one line each, with the time since the start. */
import { closeSync, openSync, writeSync } from 'node:fs'
import { join } from 'node:path'

export class Record {
  constructor (folder) {
    this.startedAtMs = Date.now()
    this.file = openSync(join(folder, 'record.txt'), 'w')
  }

  line (text) {
    writeSync(this.file, `${((Date.now() - this.startedAtMs) / 1_000).toFixed(3).padStart(8)} s  ${text}\n`)
  }

  close () {
    closeSync(this.file)
  }
}

/**
 * Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 * @param play gets the record, and a list for what has to be closed; returns the broken rules as texts
 */
export async function runCase (folder, play) {
  const record = new Record(folder)
  const closers = []
  const closeAll = async () => {
    for (const close of closers.reverse().splice(0)) await close()
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.once(signal, () => { closeAll().finally(() => process.exit(2)) })
  const timer = setTimeout(() => {
    record.line('the case took longer than 115 s')
    closeAll().finally(() => process.exit(2))
  }, 115_000)
  let status = 2
  try {
    const broken = await play(record, closers)
    for (const text of broken) record.line(`BROKEN ${text}`)
    record.line(broken.length > 0 ? `result: broken ${broken.length} times` : 'result: held')
    status = broken.length > 0 ? 1 : 0
  } catch (error) {
    record.line(`the case could not run: ${error.stack}`)
    process.stderr.write(`${error.stack}\n`)
  }
  clearTimeout(timer)
  await closeAll()
  record.close()
  process.exit(status)
}
