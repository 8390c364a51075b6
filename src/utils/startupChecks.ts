/**
 * What a program requires of its host. It is checked before anything starts, so
 * that a port in use or a folder without write access causes one clear error.
 */
import { access, constants, mkdir } from 'node:fs/promises'
import { createServer } from 'node:net'
import { sleepUntil, systemClock, type Clock } from './clock.js'
import { SettingsError } from './errors.js'
import { Scope } from './scope.js'
import { parseAddress } from './settings.js'

/** For a predecessor that still holds the address while it ends: a planned stop hands over in less (HANDOVER_TIMEOUT_MS of the control program). */
const PREDECESSOR_WAIT_MS = 1_000
const LISTEN_RETRY_MS = 100

export interface StartupRequirements {
  /** Addresses to listen on, by their key in the settings. */
  addresses: Record<string, string>
  /** Folders that must be writable, by their key in the settings. */
  folders: Record<string, string>
}

/** @throws SettingsError naming the file, the key, the value and what is wrong. */
export async function checkStartupRequirements (settingsFile: string, { addresses, folders }: StartupRequirements, clock: Clock = systemClock): Promise<void> {
  const problems: string[] = []
  const deadlineMs = clock.nowMs() + PREDECESSOR_WAIT_MS
  for (const [key, address] of Object.entries(addresses)) {
    const problem = await problemOf(async () => await waitUntilFree(address, clock, deadlineMs))
    if (problem !== undefined) problems.push(`${settingsFile}: ${key}: cannot listen there: ${problem} (value: "${address}")`)
  }
  for (const [key, folder] of Object.entries(folders)) {
    const problem = await problemOf(async () => await checkWritable(folder))
    if (problem !== undefined) problems.push(`${settingsFile}: ${key}: expected a folder that can be written: ${problem} (value: "${folder}")`)
  }
  if (problems.length > 0) throw new SettingsError(problems.join('\n'))
}

async function problemOf (check: () => Promise<void>): Promise<string | undefined> {
  try {
    await check()
    return undefined
  } catch (error) {
    return (error as Error).message
  }
}

/** Tries again until the deadline; then throws why the address cannot be listened on. */
async function waitUntilFree (address: string, clock: Clock, deadlineMs: number): Promise<void> {
  const scope = new Scope('startup checks')
  for (;;) {
    try {
      return await checkCanListen(address)
    } catch (error) {
      if (clock.nowMs() >= deadlineMs) throw error
    }
    await sleepUntil(clock, scope, clock.nowMs() + LISTEN_RETRY_MS)
  }
}

async function checkCanListen (address: string): Promise<void> {
  const { host, port } = parseAddress(address)
  const server = createServer()
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, () => server.close(() => resolve()))
  })
}

async function checkWritable (folder: string): Promise<void> {
  await mkdir(folder, { recursive: true })
  await access(folder, constants.W_OK | constants.X_OK)
}
