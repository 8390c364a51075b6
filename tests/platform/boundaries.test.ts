import test from 'ava'
import { readdirSync, readFileSync } from 'node:fs'
import { join } from 'node:path'
import { WireHeader } from '../../platform/wireNames.js'
import { fleetHostSettingsSchema } from '../../src/fleet/fleetHostSettings.js'
import { SettingsError } from '../../src/utils/errors.js'
import { checkSettings } from '../../src/utils/settings.js'

/** Names of the platform's interface that have another meaning, or none, in the product. */
const FOREIGN_NAMES = [
  ...Object.values(WireHeader).filter(name => name.startsWith('x-threaddrum-')),
  'path-prefix', 'route-type', 'slo-ms', 'max-queue-s', 'cold-left-ms', 'min-version', 'after-rev', 'next-token', "'expected-rev'",
  'fencing-token', '/v1/lots', "'/v1/order'", '/v1/version-put', '/v1/config/replace', '/deregister', 'internal-ports'
]

function sourcesIn (folder: string): string[] {
  return readdirSync(folder, { recursive: true, encoding: 'utf8' }).filter(path => path.endsWith('.ts')).map(path => join(folder, path))
}

test('should use the names of the platform\'s interface in one folder only', t => {
  const found = sourcesIn('src').flatMap(path => {
    const text = readFileSync(path, 'utf8').toLowerCase()
    return FOREIGN_NAMES.filter(name => text.includes(name)).map(name => `${path}: ${name}`)
  })
  t.deepEqual(found, [])
})

test('should keep the adapter under a tenth of the product', t => {
  const linesIn = (folder: string): number => sourcesIn(folder).reduce((sum, path) => sum + readFileSync(path, 'utf8').split('\n').length, 0)
  const share = linesIn('platform') / linesIn('src')
  t.true(share < 0.1, `${share}`)
})

const settings = `
[host]
name = "edge-north-1"
ip = "10.1.0.10"
dataCentre = "north"
isFirstStart = true
[listen]
callers = "10.1.0.10:8161"
[cluster]
seedAddresses = ["10.1.0.10:8166"]
internalPorts = [7720, 7735]
[metricsPorts]
edge = 9464
control = 9465
store = 9466
[bounds]
heartbeatMs = 1200
[end]
isWhole = true
`

test('should apply the defaults of bounds that the settings leave out', t => {
  const checked = checkSettings('settings.toml', settings, fleetHostSettingsSchema)
  t.is(checked.bounds.orderLeaseMs, 3_000)
  t.is(checked.host.dataFolder, undefined)
})

const mistakes: Array<[string, string, string, RegExp]> = [
  ['an address', '"10.1.0.10:8161"', '"nowhere"', /settings\.toml: listen\.callers: .*nowhere/],
  ['a first start', 'isFirstStart = true', 'isFirstStart = 3', /host\.isFirstStart: .*\(value: 3\)/],
  ['a port', '[7720, 7735]', '[7720, 99999]', /cluster\.internalPorts\.1: .*99999/],
  ['a first port', '[7720, 7735]', '[70000, 7735]', /cluster\.internalPorts\.0: .*\(value: 70000\)/],
  ['a last port', '[7720, 7735]', '[7720, 0]', /cluster\.internalPorts\.1: .*\(value: 0\)/],
  ['a range of ports that is too short', '[7720, 7735]', '[7720, 7721]', /cluster\.internalPorts: .*\(value: \[7720,7721\]\)/],
  ['a range of ports that ends at the last one', '[7720, 7735]', '[65534, 65535]', /cluster\.internalPorts: .*\(value: \[65534,65535\]\)/],
  ['an interval', 'heartbeatMs = 1200', 'heartbeatMs = 0', /bounds\.heartbeatMs: .*\(value: 0\)/],
  ['a key', '[bounds]', '[bounds]\nunheardOf = 1', /bounds: unknown key "unheardOf"/]
]

// Guards against settings that pass and end the program later, such as ports that cannot be.
for (const [what, from, to, message] of mistakes) {
  test(`should name the file, the key and the value of ${what} that is invalid`, t => {
    const error = t.throws(() => checkSettings('settings.toml', settings.replace(from, to), fleetHostSettingsSchema), { instanceOf: SettingsError })
    t.regex(error?.message ?? '', message)
  })
}
