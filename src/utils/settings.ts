/**
 * Settings: TOML files that are validated against a zod schema before anything
 * starts. An invalid setting causes one error that names file, key, value and the
 * expected form.
 */
import { readFileSync } from 'node:fs'
import { parse, TomlError } from 'smol-toml'
import { z } from 'zod'
import { SettingsError } from './errors.js'

const OCTET = '(?:25[0-5]|2[0-4]\\d|1\\d\\d|[1-9]?\\d)'
const PORT = '(?:6553[0-5]|655[0-2]\\d|65[0-4]\\d\\d|6[0-4]\\d{3}|[1-5]?\\d{1,4})'
const addressPattern = new RegExp(`^${OCTET}(?:\\.${OCTET}){3}:${PORT}$`)

/** `ip:port`; hosts are addressed by IPv4 address, never by name. */
export const addressSchema = z.string().regex(addressPattern, 'expected an address such as 127.0.0.1:7100')

/** Whether a text is an address that a socket can have. */
export function isAddress (text: string): boolean {
  return addressPattern.test(text)
}

export interface SocketAddress {
  host: string
  port: number
}

export function parseAddress (address: string): SocketAddress {
  const [host = '', port = ''] = address.split(':')
  return { host, port: Number(port) }
}

/**
 * Reads and validates a settings file.
 * @throws SettingsError naming the file, the key, the value and the expected form.
 */
export function readSettings<S extends z.ZodType> (path: string, schema: S): z.output<S> {
  return checkSettings(path, readText(path), schema)
}

export function checkSettings<S extends z.ZodType> (path: string, text: string, schema: S): z.output<S> {
  return checkValue(path, parseToml(path, text), schema)
}

/**
 * Validates a value that was read from a file.
 * @param keyPrefix key of the value within the file
 */
export function checkValue<S extends z.ZodType> (path: string, value: unknown, schema: S, keyPrefix: PropertyKey[] = []): z.output<S> {
  const parsed = schema.safeParse(value)
  if (parsed.success) return parsed.data
  const lines = parsed.error.issues.map(issue => describeIssue(path, value, issue, keyPrefix))
  throw new SettingsError(lines.join('\n'))
}

/** @throws SettingsError naming the file. */
export function readText (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (error) {
    throw new SettingsError(`${path}: cannot be read: ${(error as Error).message}`)
  }
}

function parseToml (path: string, text: string): unknown {
  try {
    return parse(text)
  } catch (error) {
    if (error instanceof TomlError) throw new SettingsError(`${path}:${error.line}:${error.column}: ${error.message}`)
    throw error
  }
}

function describeIssue (path: string, raw: unknown, issue: z.core.$ZodIssue, keyPrefix: PropertyKey[]): string {
  const key = [...keyPrefix, ...issue.path].join('.') || '(top level)'
  if (issue.code === 'unrecognized_keys') {
    return `${path}: ${key}: unknown key ${issue.keys.map(name => `"${name}"`).join(', ')}`
  }
  const value = valueAt(raw, issue.path)
  return `${path}: ${key}: ${issue.message} (value: ${value === undefined ? 'missing' : JSON.stringify(value)})`
}

/** The value under a key of nested tables; undefined if there is none. */
export function valueAt (raw: unknown, path: PropertyKey[]): unknown {
  let value: unknown = raw
  for (const key of path) value = (value as Record<PropertyKey, unknown> | undefined)?.[key]
  return value
}
