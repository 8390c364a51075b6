import test from 'ava'
import { spawn } from 'node:child_process'
import { mkdtempSync, writeFileSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'smol-toml'

const IP = '127.0.50.250'

type Settings = Record<string, Record<string, unknown>>

function entrySettings (): Settings {
  return {
    host: { hostId: 'entry-1', dataCentre: 'hal-a', callerAddress: `${IP}:7100`, peerAddress: `${IP}:7200`, operatorAddress: `${IP}:7300` },
    control: { peerAddresses: [`${IP}:7400`] }
  }
}

function controlSettings (folder: string): Settings {
  return {
    host: { hostId: 'control-1', dataCentre: 'hal-a', peerAddress: `${IP}:7200`, operatorAddress: `${IP}:7300` },
    storage: { dataFolder: folder },
    cluster: { initialMembers: [{ hostId: 'control-1', peerAddress: `${IP}:7200` }] }
  }
}

async function run (program: string, args: string[]): Promise<{ code: number | null, out: string, err: string }> {
  const child = spawn(process.execPath, [`dist/src/bin/${program}.js`, ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
  let out = ''
  let err = ''
  child.stdout.on('data', part => { out += String(part) })
  child.stderr.on('data', part => { err += String(part) })
  const code = await new Promise<number | null>(resolve => child.once('close', resolve))
  return { code, out, err }
}

async function runWith (program: string, settings: Settings): Promise<{ code: number | null, err: string }> {
  const file = join(mkdtempSync(join(tmpdir(), 'threaddrum-settings-')), 'host.toml')
  writeFileSync(file, stringify(settings))
  return await run(program, ['--settings', file])
}

test('should exit with 2 and one line that names file, key and value of an invalid setting', async t => {
  const unknown = entrySettings()
  unknown.host!.adress = 'x'
  const missing = entrySettings()
  delete missing.host!.callerAddress
  const cases: Array<[string, Settings, RegExp]> = [
    ['threaddrumEntry', unknown, /host\.toml: host: unknown key "adress"\n$/],
    ['threaddrumEntry', missing, /host\.toml: host\.callerAddress: .*expected.* \(value: missing\)\n$/],
    ['threaddrumControl', controlSettings('/dev/null/state'), /host\.toml: storage\.dataFolder: expected a folder that can be written: .* \(value: "\/dev\/null\/state"\)\n$/]
  ]
  for (const [program, settings, expected] of cases) {
    const { code, err } = await runWith(program, settings)
    t.is(code, 2)
    t.regex(err, expected)
    t.is(err.split('\n').length, 2, err)
  }
})

test('should exit with 2 when a port is in use', async t => {
  const holder = createServer()
  await new Promise<void>(resolve => holder.listen(0, IP, resolve))
  const { port } = holder.address() as AddressInfo
  const settings = entrySettings()
  settings.host!.callerAddress = `${IP}:${port}`
  const { code, err } = await runWith('threaddrumEntry', settings)
  holder.close()
  t.is(code, 2)
  t.regex(err, new RegExp(`host\\.toml: host\\.callerAddress: cannot listen there: .*EADDRINUSE.* \\(value: "${IP}:${port}"\\)`))
})

test('should offer --help and --version in every program', async t => {
  for (const program of ['threaddrum', 'threaddrumEntry', 'threaddrumControl', 'threaddrumLoad']) {
    t.like(await run(program, ['--version']), { code: 0, err: '' }, program)
    const help = await run(program, ['--help'])
    t.is(help.code, 0)
    t.regex(help.out, /Usage:[\s\S]*--help/, program)
  }
})
