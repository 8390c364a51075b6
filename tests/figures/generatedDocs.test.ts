import test from 'ava'
import { loadEventCatalogues } from '../../tools/eventCatalogues.js'
import { outdatedPages } from '../../tools/makeDocs.js'

test('should have up-to-date generated pages', async t => {
  const paths = (await outdatedPages()).map(page => page.path)
  t.deepEqual(paths, [], 'run npm run docs')
})

test('should use every event number once, with a name', async t => {
  const catalogues = await loadEventCatalogues()
  const numbers = catalogues.flatMap(({ events }) => Object.keys(events))
  t.deepEqual(numbers.filter((number, index) => numbers.indexOf(number) !== index), [])
  for (const { module, names, events } of catalogues) {
    for (const number of Object.keys(events)) t.truthy(names[number], `${module} ${number}`)
  }
})
