/**
 * A program waits where its host is short of something for a while: it does not end.
 */
import test from 'ava'
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { connect, type Socket } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { pathToFileURL } from 'node:url'
import { stringify } from 'smol-toml'
import { request } from 'undici'
import type { ProgramName } from '../../src/fleet/fleetHostSettings.js'
import { ReplicationEvent } from '../../src/replication/replicationEvents.js'
import { hostSettings, reserveHostPorts } from '../fixtures/hostSettings.js'
import { loopbackHost } from '../fixtures/loopback.js'
import { ALLOWED_OPENS_VARIABLE, REFUSED_FILE_VARIABLE, UNOPENED_FILE_VARIABLE } from '../fixtures/programs/refusingDisk.js'
import { until } from '../fixtures/until.js'

/** Enough for a program without clients, which opens all its modules at once. */
const DESCRIPTORS_COUNT = 300
const CLIENTS_COUNT = 400
/** The memory of a process is read each second. */
const SHORT_FOR_MS = 3_500
const NO_LIMIT = 'unlimited'

interface RunningProgram {
  child: ChildProcess
  ip: string
  metricsPort: number
  out: string
}

/** @param descriptors what `ulimit -n` takes */
async function start (name: ProgramName, descriptors: string, preloaded: string[] = [], env: Record<string, string> = {}): Promise<RunningProgram & { stop: () => Promise<void> }> {
  const folder = mkdtempSync(join(tmpdir(), 'threaddrum-shortage-'))
  const ip = loopbackHost()
  const ports = await reserveHostPorts()
  const metricsPort = { edge: ports.edgeMetrics, control: ports.controlMetrics, store: ports.storeMetrics }[name]
  const file = join(folder, 'host.toml')
  writeFileSync(file, stringify(hostSettings(ip, ports, join(folder, 'data'))))
  const limit = descriptors === NO_LIMIT ? '' : `ulimit -n ${descriptors};`
  const child = spawn('bash', ['-c', `${limit} exec "$0" "$@"`, process.execPath, ...preloaded, `dist/platform/${name}.js`], {
    env: { ...process.env, ...env, THREADDRUM_NODE_FILE: file }, stdio: ['ignore', 'pipe', 'inherit']
  })
  const exited = new Promise(resolve => child.once('exit', resolve))
  const program = {
    child,
    ip,
    metricsPort,
    out: '',
    stop: async () => {
      child.kill('SIGKILL')
      await exited
      rmSync(folder, { recursive: true })
    }
  }
  child.stdout?.on('data', part => { program.out += String(part) })
  return program
}

async function pause (durationMs: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, durationMs))
}

async function tellsMetrics ({ ip, metricsPort }: RunningProgram): Promise<boolean> {
  return await request(`http://${ip}:${metricsPort}/metrics`).then(async ({ statusCode, body }) => {
    await body.dump()
    return statusCode === 200
  }, () => false)
}

/** Connections that send nothing. */
function openClients ({ ip, metricsPort }: RunningProgram): Socket[] {
  return Array.from({ length: CLIENTS_COUNT }, () => connect({ host: ip, port: metricsPort }).on('error', () => {}))
}

function endOf ({ child }: RunningProgram): string {
  return child.exitCode === null && child.signalCode === null ? 'runs' : `ended with ${child.exitCode ?? child.signalCode}`
}

for (const name of ['edge', 'control', 'store'] as const) {
  // A process whose clients used all descriptors ended with code 70: reading its memory opens a file, and the error counted as a broken invariant.
  test(`should keep ${name} running while clients use all descriptors, and serve afterwards`, async t => {
    const program = await start(name, String(DESCRIPTORS_COUNT))
    t.teardown(() => program.stop())
    await until(async () => await tellsMetrics(program))
    const clients = openClients(program)
    await pause(SHORT_FOR_MS)
    t.is(endOf(program), 'runs', program.out.split('\n').slice(-3).join('\n'))
    for (const client of clients) client.destroy()
    await until(async () => await tellsMetrics(program))
  })
}

const REFUSING_DISK = ['--import', pathToFileURL('dist/tests/fixtures/programs/refusingDisk.js').href]

for (const name of ['control', 'store'] as const) {
  // A full disk, which a running program waits out, ended a starting one with code 70, at each start.
  test(`should start ${name} once its disk, which refused every write at first, takes them`, async t => {
    const program = await start(name, NO_LIMIT, REFUSING_DISK, { [REFUSED_FILE_VARIABLE]: '' })
    t.teardown(() => program.stop())
    await until(() => endOf(program) !== 'runs' || program.out.includes(`"eventNumber":${ReplicationEvent.Loaded}`))
    t.is(endOf(program), 'runs', program.out.split('\n').slice(-3).join('\n'))
  })
}

// A full disk ended a control host with code 70 when it wrote down which cluster it belongs to.
test('should let control form its cluster once its disk, which was full then, takes writes', async t => {
  const program = await start('control', NO_LIMIT, REFUSING_DISK, { [REFUSED_FILE_VARIABLE]: 'replica.tmp', [ALLOWED_OPENS_VARIABLE]: '1' })
  t.teardown(() => program.stop())
  await until(() => endOf(program) !== 'runs' || program.out.includes(`"eventNumber":${ReplicationEvent.LeadershipStarted}`))
  t.is(endOf(program), 'runs', program.out.split('\n').slice(-3).join('\n'))
})

// A control host that had no descriptor left when it wrote down its cluster ended with code 70; its clients took them.
test('should let control form its cluster once it has descriptors for its files again', async t => {
  const program = await start('control', NO_LIMIT, REFUSING_DISK, { [UNOPENED_FILE_VARIABLE]: 'replica.tmp', [ALLOWED_OPENS_VARIABLE]: '2' })
  t.teardown(() => program.stop())
  await until(() => endOf(program) !== 'runs' || program.out.includes(`"eventNumber":${ReplicationEvent.LeadershipStarted}`))
  t.is(endOf(program), 'runs', program.out.split('\n').slice(-3).join('\n'))
})
