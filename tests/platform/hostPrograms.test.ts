import test, { type ExecutionContext } from 'ava'
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { stringify } from 'smol-toml'
import { request } from 'undici'
import type { ProgramName } from '../../src/fleet/fleetHostSettings.js'
import { ReplicationEvent } from '../../src/replication/replicationEvents.js'
import { MemoryEvent } from '../../src/utils/memoryEvents.js'
import { hostSettings, linesOf as linesIn, reserveHostPorts, withChanges, type LogLine } from '../fixtures/hostSettings.js'
import { loopbackHost } from '../fixtures/loopback.js'
import { until } from '../fixtures/until.js'

/** Any process uses more, so that all warning levels are exceeded at once. */
const TINY_LIMIT_MB = 1
const LEVELS_COUNT = 3

interface RunningProgram {
  child: ChildProcess
  metricsUrl: string
  folder: string
  out: string
}

async function start (name: ProgramName, memoryMb: number | undefined, limits: Record<string, number> = {}): Promise<RunningProgram> {
  const folder = mkdtempSync(join(tmpdir(), 'threaddrum-host-'))
  const ip = loopbackHost()
  const ports = await reserveHostPorts()
  const metricsPorts = { edge: ports.edgeMetrics, control: ports.controlMetrics, store: ports.storeMetrics }
  const file = join(folder, 'host.toml')
  const settings = hostSettings(ip, ports, join(folder, 'data'))
  writeFileSync(file, stringify(withChanges(settings, { host: { ...(memoryMb === undefined ? {} : { memoryMb }), ...limits } })))
  const child = spawn(process.execPath, [`dist/platform/${name}.js`], {
    env: { ...process.env, THREADDRUM_NODE_FILE: file }, stdio: ['ignore', 'pipe', 'inherit']
  })
  const program = { child, folder, out: '', metricsUrl: `http://${ip}:${metricsPorts[name]}/metrics` }
  child.stdout?.on('data', part => { program.out += String(part) })
  return program
}

async function stop ({ child, folder }: RunningProgram): Promise<void> {
  const exited = new Promise(resolve => child.once('exit', resolve))
  child.kill('SIGKILL')
  await exited
  rmSync(folder, { recursive: true })
}

function linesOf ({ out }: RunningProgram, eventNumber: number): LogLine[] {
  return linesIn(out, eventNumber)
}

async function readGauge (program: RunningProgram, name: string): Promise<number | undefined> {
  const text = await request(program.metricsUrl).then(async ({ body }) => await body.text(), () => '')
  const value = text.split('\n').find(line => line.startsWith(`threaddrum_${name} `))?.split(' ')[1]
  return value === undefined ? undefined : Number(value)
}

async function assertGauges (t: ExecutionContext, program: RunningProgram, names: string[]): Promise<void> {
  await until(async () => await readGauge(program, names.at(-1) ?? '') !== undefined)
  for (const name of names) t.true(await readGauge(program, name) !== undefined, name)
}

for (const name of ['edge', 'control', 'store'] as const) {
  test(`should compare the memory of ${name} with the limit of its host`, async t => {
    const program = await start(name, TINY_LIMIT_MB)
    t.teardown(() => stop(program))
    await until(() => linesOf(program, MemoryEvent.LevelReached).length === LEVELS_COUNT)
    t.is(linesOf(program, MemoryEvent.LevelReached)[0]?.context.limitBytes, 1024 * 1024)
    await until(async () => (await readGauge(program, 'memory_resident_bytes') ?? 0) > 1024 * 1024)
  })
}

for (const name of ['control', 'store'] as const) {
  test(`should expose metrics of the replica of ${name} and log how it was loaded`, async t => {
    const program = await start(name, undefined)
    t.teardown(() => stop(program))
    await until(() => linesOf(program, ReplicationEvent.Loaded).length === 1)
    t.true(Number(linesOf(program, ReplicationEvent.Loaded)[0]?.context.readMs) > 0)
    await assertGauges(t, program, ['log_applied_index', 'log_held_bytes', 'members_voters', 'members_largest_lag_entries'])
    t.deepEqual(linesOf(program, MemoryEvent.LevelReached), [])
  })
}

test('should expose metrics of the batches on a store host', async t => {
  const program = await start('store', undefined)
  t.teardown(() => stop(program))
  await until(async () => await readGauge(program, 'batches_held') === 0)
  await assertGauges(t, program, ['batches_open', 'outputs_unfinished'])
})

test('should expose how much of an entry host is in use where its limits are known', async t => {
  const program = await start('edge', 200, { processorShare: 0.5, processorSpeed: 2, maxDescriptorsCount: 2_400, linkMbps: 30 })
  t.teardown(() => stop(program))
  await assertGauges(t, program, ['host_use', 'host_requests', 'host_held_bytes', 'host_shed_depth', 'host_back_off_steps'])
  t.is(await readGauge(program, 'host_requests'), 0)
})

test('should bound nothing on an entry host whose limits are not known', async t => {
  const program = await start('edge', undefined)
  t.teardown(() => stop(program))
  await assertGauges(t, program, ['processor_cores'])
  t.is(await readGauge(program, 'host_requests'), undefined)
  t.is(await readGauge(program, 'host_use'), undefined)
})
