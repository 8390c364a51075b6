/**
 * Resource files, in TOML or JSON: a list `resources` of kind, name and spec, in
 * the format that `threaddrum get --json` prints. `promptsFile` in the spec of a
 * rollout job is the path of a text file with one prompt per line, relative to the
 * resource file.
 */
import { dirname, resolve } from 'node:path'
import { z } from 'zod'
import { ResourceKind, resourceNameSchema, specSchemas } from '../protocol/resources.js'
import { SettingsError } from '../utils/errors.js'
import { checkSettings, checkValue, readText } from '../utils/settings.js'

const declaredSchema = z.strictObject({
  kind: z.enum(ResourceKind),
  name: resourceNameSchema,
  /** Apply only if this is still the revision of the resource; 0 if the resource must not exist. */
  revision: z.int().min(0).optional(),
  spec: z.record(z.string(), z.unknown())
})

const fileSchema = z.strictObject({ resources: z.array(declaredSchema).min(1) })

export type DeclaredResource = z.output<typeof declaredSchema>

/**
 * Reads and validates a resource file.
 * @throws SettingsError naming the file, the key, the value and the expected form.
 */
export function readResourceFile (path: string): DeclaredResource[] {
  const text = readText(path)
  const { resources } = path.endsWith('.json') ? checkValue(path, parseJson(path, text), fileSchema) : checkSettings(path, text, fileSchema)
  return resources.map((resource, index) => checkSpec(path, index, inlinePrompts(path, resource)))
}

function parseJson (path: string, text: string): unknown {
  try {
    return JSON.parse(text)
  } catch (error) {
    throw new SettingsError(`${path}: ${(error as Error).message}`)
  }
}

function inlinePrompts (path: string, resource: DeclaredResource): DeclaredResource {
  const { promptsFile, ...spec } = resource.spec
  if (resource.kind !== ResourceKind.RolloutJob || typeof promptsFile !== 'string') return resource
  const lines = readText(resolve(dirname(path), promptsFile)).split('\n').map(line => line.trim())
  const prompts = lines.filter(line => line !== '' && !line.startsWith('#'))
  return { ...resource, spec: { ...spec, prompts } }
}

function checkSpec (path: string, index: number, resource: DeclaredResource): DeclaredResource {
  checkValue(path, resource.spec, specSchemas[resource.kind], ['resources', index, 'spec'])
  return resource
}
