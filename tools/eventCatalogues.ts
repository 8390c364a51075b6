/**
 * Finds all catalogues of numbered log events: every module named `…Events.ts`
 * under src exports one numeric enum and one catalogue.
 */
import { readdirSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { EventCatalogue } from '../src/utils/logger.js'

export interface NamedCatalogue {
  /** Path of the module without extension. */
  module: string
  /** Names of the event numbers. */
  names: Record<string, string | number>
  events: EventCatalogue
}

const builtSourceFolder = join(dirname(fileURLToPath(import.meta.url)), '..', 'src')

function isCatalogue (value: unknown): value is EventCatalogue {
  return typeof value === 'object' && value !== null &&
    Object.values(value).some(entry => typeof entry === 'object' && entry !== null && 'advice' in entry)
}

function isNumericEnum (value: unknown): value is Record<string, string | number> {
  return typeof value === 'object' && value !== null &&
    Object.keys(value).some(key => Number.isInteger(Number(key))) &&
    Object.values(value).every(entry => typeof entry === 'number' || typeof entry === 'string')
}

async function loadCatalogue (path: string): Promise<NamedCatalogue> {
  const exported = Object.values(await import(join(builtSourceFolder, path)) as Record<string, unknown>)
  const module = `src/${path.replace(/\.js$/, '')}`
  const events = exported.find(isCatalogue)
  const names = exported.find(isNumericEnum)
  if (!events || !names) throw new Error(`${module}.ts: expected exports of a numeric enum and an event catalogue`)
  return { module, names, events }
}

/** Loads all catalogues, ordered by their lowest event number. */
export async function loadEventCatalogues (): Promise<NamedCatalogue[]> {
  const sources = readdirSync('src', { recursive: true, encoding: 'utf8' }).filter(path => path.endsWith('Events.ts'))
  const files = sources.map(path => path.replace(/\.ts$/, '.js'))
  const catalogues = await Promise.all(files.map(loadCatalogue))
  return catalogues.sort((a, b) => lowestNumber(a) - lowestNumber(b))
}

function lowestNumber ({ events }: NamedCatalogue): number {
  return Math.min(...Object.keys(events).map(Number))
}
