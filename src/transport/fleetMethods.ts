/**
 * RPC methods between control hosts and the hosts that follow them.
 */
import { z } from 'zod'
import { fleetUpdateSchema, followReplySchema, followRequestSchema } from '../protocol/fleet.js'
import { rpcMethod } from './rpcPeer.js'

/** Called repeatedly by the follower; also serves as its heartbeat. */
export const followMethod = rpcMethod('fleet.follow', followRequestSchema, followReplySchema)
/** Called by a control host on its followers when the fleet changes. The reply confirms that the update is in effect at the follower. */
export const fleetUpdateMethod = rpcMethod('fleet.update', fleetUpdateSchema, z.object({}))
