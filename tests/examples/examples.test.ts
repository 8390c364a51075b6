import { readFileSync } from 'node:fs'
import test from 'ava'
import { readResourceFile } from '../../src/cli/resourceFile.js'
import { controlSettingsSchema } from '../../src/control/controlSettings.js'
import { defaultLimits, entrySettingsSchema } from '../../src/entry/entrySettings.js'
import { fleetHostSettingsSchema } from '../../src/fleet/fleetHostSettings.js'
import { ResourceKind } from '../../src/protocol/resources.js'
import { readSettings } from '../../src/utils/settings.js'

test('should ship resources that are valid, with a deck of prompts', t => {
  const resources = readResourceFile('examples/practice-hints.toml')
  const job = resources.find(({ kind }) => kind === ResourceKind.RolloutJob)
  t.true(Array.isArray(job?.spec.prompts) && job.spec.prompts.length > 0)
})

test('should ship annotated settings that are valid', t => {
  t.notThrows(() => readSettings('examples/entry.toml', entrySettingsSchema))
  t.notThrows(() => readSettings('examples/control.toml', controlSettingsSchema))
  t.notThrows(() => readSettings('examples/fleet-host.toml', fleetHostSettingsSchema))
})

test('should ship settings whose limits are the defaults, as their comments state', t => {
  const { limits } = readSettings('examples/entry.toml', entrySettingsSchema)
  t.deepEqual(limits, defaultLimits)
})

test('should have the same sections and keys in the template as in the example', t => {
  const keysOf = (path: string): string[] => {
    const lines = readFileSync(path, 'utf8').split('\n').map(line => line.replace(/^\{\{#[^}]+\}\}/, ''))
    return lines.flatMap(line => /^(\[\w+\]|\w+ =)/.exec(line)?.[0] ?? [])
  }
  t.deepEqual(keysOf('platform/settings.toml'), keysOf('examples/fleet-host.toml'))
})
