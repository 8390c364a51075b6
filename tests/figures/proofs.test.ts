import test from 'ava'
import { existsSync, readFileSync } from 'node:fs'

const CITATION = /(?:^|[|;] )((?:batches|control|entry|fleet|gateway|platform|rollouts|scheduling|processes|standins)\/\w+): (should [^;|]+?) ?(?=[;|])/gm

test('should cite only tests that exist', t => {
  const citations = [...readFileSync('docs/PROOFS.md', 'utf8').matchAll(CITATION)]
  t.true(citations.length > 40, `${citations.length} citations`)
  for (const [, file, title = ''] of citations) {
    const path = `tests/${file}.test.ts`
    t.true(existsSync(path), path)
    t.true(readFileSync(path, 'utf8').replaceAll('\\', '').includes(`'${title}'`), `${path}: ${title}`)
  }
})
