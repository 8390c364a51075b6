/**
 * `npm run capacity`: prints the tables of docs/CAPACITY.md, calculated from
 * the slopes in bench/slopes.json; with `--write` it updates the page.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { pathToFileURL } from 'node:url'
import { eventsSection } from './capacity/events.js'
import { capacityRows, Role } from './capacity/rows.js'
import { SlopeBook } from './capacity/slopeBook.js'
import { controlVerdicts, roleTable, slopeTable, verdictTable } from './capacity/tables.js'

const PAGE_PATH = 'docs/CAPACITY.md'
const BEGIN = '<!-- made by npm run capacity -- --write -->'
const END = '<!-- end of what is made -->'

export function capacityTables (book = SlopeBook.read()): string {
  const rows = capacityRows(book)
  return [
    '## Against the limits', verdictTable(controlVerdicts(rows, book)),
    '## Role by role', ...Object.values(Role).map(role => roleTable(role, rows, book)),
    eventsSection(book),
    '## The slopes', slopeTable(book)
  ].join('\n\n')
}

/** Returns the page with its generated section replaced; throws if the marks of the section are missing. */
export function pageWith (page: string, tables: string): string {
  const from = page.indexOf(BEGIN)
  const to = page.indexOf(END)
  if (from < 0 || to < from) throw new Error(`${PAGE_PATH}: expected the marks "${BEGIN}" and "${END}", in this order`)
  return `${page.slice(0, from)}${BEGIN}\n\n${tables}\n\n${page.slice(to)}`
}

export function isPageCurrent (): boolean {
  const page = readFileSync(PAGE_PATH, 'utf8')
  return pageWith(page, capacityTables()) === page
}

function main (): void {
  const tables = capacityTables()
  process.stdout.write(`${tables}\n`)
  if (process.argv.includes('--write')) writeFileSync(PAGE_PATH, pageWith(readFileSync(PAGE_PATH, 'utf8'), tables))
}

if (import.meta.url === pathToFileURL(process.argv[1] ?? '').href) main()
