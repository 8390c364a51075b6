/**
 * The configuration replicated to entry hosts: resources and registered hosts,
 * under one revision that increases by one with every change.
 */
import { z } from 'zod'
import { entryHostSchema } from './hostCommands.js'
import { resourceEventSchema } from './resourceCommands.js'
import { resourceSchema } from './resources.js'

const hostEventSchemas = [
  z.object({ kind: z.literal('hostPut'), revision: z.int(), host: entryHostSchema }),
  z.object({ kind: z.literal('hostRemoved'), revision: z.int(), hostId: z.string() })
] as const

export const configurationChangeSchema = z.union([resourceEventSchema, ...hostEventSchemas])
export type ConfigurationChange = z.infer<typeof configurationChangeSchema>

/** The full configuration at a revision, for a follower older than the retained history. */
export const configurationListingSchema = z.object({
  revision: z.int(),
  resources: z.array(resourceSchema),
  hosts: z.array(entryHostSchema)
})
export type ConfigurationListing = z.infer<typeof configurationListingSchema>
