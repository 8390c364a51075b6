/**
 * Settings of a control host.
 */
import { z } from 'zod'
import { addressSchema } from '../utils/settings.js'

const hostIdSchema = z.string().min(1).max(128)

export const controlSettingsSchema = z.strictObject({
  host: z.strictObject({
    hostId: hostIdSchema,
    dataCentre: z.string().min(1),
    /** Address for the other control hosts and the entry hosts. */
    peerAddress: addressSchema,
    /** Address for operators. */
    operatorAddress: addressSchema
  }),
  storage: z.strictObject({
    dataFolder: z.string().min(1)
  }),
  cluster: z.strictObject({
    /** All control hosts of the first start; a host added later names any hosts through which it can join. */
    initialMembers: z.array(z.strictObject({ hostId: hostIdSchema, peerAddress: addressSchema })).min(1)
  }),
  metrics: z.strictObject({ statsdAddress: addressSchema }).optional()
})
export type ControlSettings = z.infer<typeof controlSettingsSchema>
