/**
 * The leader of the batch store under the steps of three trainers: its processor
 * time per item, and the longest time for which its event loop is blocked.
 * Followers and engines run in separate processes.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { BenchUnit, type BenchOptions, type BenchResult } from './benchResult.js'

const REPLICAS_COUNT = 10
const ENGINES_COUNT = 31
/** Every fifth engine is slow, as if some of them were throttled. */
const SLOW_ENGINE_INTERVAL = 5
const QUICK_SECONDS = 4
const FULL_SECONDS = 12

/** Report that the leader prints each second. */
interface SecondReport {
  cpuMs: number
  heldUpMs: number
  listedCount: number
}

function start (program: string, args: string[]): ChildProcess {
  const path = fileURLToPath(new URL(`./leader/${program}.js`, import.meta.url))
  const profile = process.env.LEADER_PROFILE !== undefined && program === 'leader' ? ['--cpu-prof', `--cpu-prof-dir=${process.env.LEADER_PROFILE}`] : []
  return spawn(process.execPath, [...profile, path, ...args], { stdio: ['ignore', 'pipe', 'inherit', 'ipc'] })
}

async function waitUntilListening (child: ChildProcess): Promise<void> {
  await new Promise<void>((resolve, reject) => {
    child.stdout?.once('data', () => resolve())
    child.once('exit', code => reject(new Error(`child process exited with ${String(code)} before it listened`)))
  })
}

async function reportsOf (leader: ChildProcess): Promise<SecondReport[]> {
  let text = ''
  leader.stdout?.on('data', (chunk: Buffer) => { text += chunk.toString() })
  await new Promise(resolve => leader.once('close', resolve))
  return text.trim().split('\n').map(line => JSON.parse(line) as SecondReport)
}

export async function run ({ quick, report }: BenchOptions): Promise<BenchResult[]> {
  const ip = `127.${1 + process.pid % 250}.19.1`
  const folder = mkdtempSync(join(tmpdir(), 'threaddrum-bench-'))
  const engines = start('engines', [ip, String(ENGINES_COUNT), String(SLOW_ENGINE_INTERVAL)])
  const followers = start('followers', [ip, String(REPLICAS_COUNT), String(ENGINES_COUNT), folder])
  await Promise.all([waitUntilListening(engines), waitUntilListening(followers)])
  const seconds = quick ? QUICK_SECONDS : FULL_SECONDS
  const reports = await reportsOf(start('leader', [ip, String(REPLICAS_COUNT), String(ENGINES_COUNT), String(seconds), folder]))
  for (const child of [engines, followers]) child.disconnect()
  rmSync(folder, { recursive: true, force: true })
  for (const [second, { cpuMs, heldUpMs, listedCount }] of reports.entries()) {
    report(`second ${second + 1}: ${cpuMs} ms of processor time, event loop blocked for ${heldUpMs} ms, ${listedCount} listed`)
  }
  const cpuMs = reports.reduce((sum, second) => sum + second.cpuMs, 0)
  const listedCount = reports.at(-1)?.listedCount ?? 0
  return [
    { name: 'leader.cpuMsPerItem', value: cpuMs / Math.max(1, listedCount), unit: BenchUnit.Milliseconds, detail: { listedCount } },
    { name: 'leader.heldUpMs', value: Math.max(...reports.map(({ heldUpMs }) => heldUpMs)), unit: BenchUnit.Milliseconds }
  ]
}
