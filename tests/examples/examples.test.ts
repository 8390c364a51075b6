import test from 'ava'
import { readResourceFile } from '../../src/cli/resourceFile.js'
import { ResourceKind } from '../../src/protocol/resources.js'

test('should ship resources that are valid, with a deck of prompts', t => {
  const resources = readResourceFile('examples/practice-hints.toml')
  const job = resources.find(({ kind }) => kind === ResourceKind.RolloutJob)
  t.true(Array.isArray(job?.spec.prompts) && job.spec.prompts.length > 0)
})
