/** The version in package.json, for --version. */
import { readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** Path relative to dist/src/utils. */
const PACKAGE_FILE = join(dirname(fileURLToPath(import.meta.url)), '../../../package.json')

export function productVersion (): string {
  const { version } = JSON.parse(readFileSync(PACKAGE_FILE, 'utf8')) as { version: string }
  return version
}
