import test from 'ava'
import { z } from 'zod'
import { SettingsError } from '../src/utils/errors.js'
import { addressSchema, checkSettings } from '../src/utils/settings.js'

const schema = z.strictObject({ host: z.strictObject({ address: addressSchema }) })

test('should name file, key, value and expected form of a malformed setting', t => {
  const error = t.throws(() => checkSettings('entry.toml', '[host]\naddress = "localhost"', schema), { instanceOf: SettingsError })
  t.regex(error.message, /entry\.toml: host\.address: expected an address such as .* \(value: "localhost"\)/)
})

for (const address of ['10.1.0.10:70000', '10.1.0.256:80']) {
  test(`should name file, key and value of ${address}, which is no address`, t => {
    const error = t.throws(() => checkSettings('entry.toml', `[host]\naddress = "${address}"`, schema), { instanceOf: SettingsError })
    t.is(error.message, `entry.toml: host.address: expected an address such as 127.0.0.1:7100 (value: "${address}")`)
  })
}

test('should name an unknown key', t => {
  const error = t.throws(() => checkSettings('entry.toml', '[host]\naddress = "127.0.0.1:1"\nadress = 1', schema))
  t.regex(error.message, /host: unknown key "adress"/)
})

test('should name line and column of a syntax error', t => {
  const error = t.throws(() => checkSettings('entry.toml', '[host\n', schema))
  t.regex(error.message, /entry\.toml:1:/)
})
