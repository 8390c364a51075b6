/** Output of the commands: results to standard output, errors to standard error. */
import Table from 'cli-table3'

export interface Output {
  print (line: string): void
  error (line: string): void
}

// The reader may close the pipe early, as `head` does.
process.stdout.on('error', (error: NodeJS.ErrnoException) => {
  if (error.code !== 'EPIPE') throw error
  process.exit()
})

export const processOutput: Output = {
  print: line => { process.stdout.write(`${line}\n`) },
  error: line => { process.stderr.write(`${line}\n`) }
}

export type Cell = string | number | boolean | undefined

export function renderTable (head: string[], rows: Cell[][]): string {
  const table = new Table({ head, style: { head: [], border: [], compact: true } })
  for (const row of rows) table.push(row.map(cell => cell === undefined ? '-' : String(cell)))
  return table.toString()
}
