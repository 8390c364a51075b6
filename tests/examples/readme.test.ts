import test from 'ava'
import { existsSync, readFileSync } from 'node:fs'

interface Citation {
  file: string
  /** Undefined if the citation refers to all tests of the file. */
  title?: string
}

/** Matches `area/file`, or the "title" of a test in the preceding file. */
const TOKEN = /`(\w+\/\w+)`|"((?:[^"\\]|\\.)+)"/g

/** Tests that are cited in the table of guarantees in README.md. */
function citations (): Citation[] {
  const [, section = ''] = readFileSync('README.md', 'utf8').split('## What it promises')
  const found: Citation[] = []
  for (const row of section.split('\n').filter(line => line.startsWith('| ') && line.includes('`'))) {
    let file = ''
    const [, , cell = ''] = row.split('|')
    for (const [, path, title] of cell.matchAll(TOKEN)) {
      if (path !== undefined) found.push({ file: file = path })
      else found.push({ file, title: title?.replaceAll('\\"', '"') })
    }
  }
  return found
}

test('should cite only tests that exist in the table of promises', t => {
  const cited = citations()
  t.true(cited.length > 0)
  for (const { file, title } of cited) {
    const path = `tests/${file}.test.ts`
    t.true(existsSync(path), path)
    if (title === undefined) continue
    const text = readFileSync(path, 'utf8')
    t.true(text.includes(`test('${title}'`) || text.includes(`test.serial('${title}'`), `${file}: ${title}`)
  }
})
