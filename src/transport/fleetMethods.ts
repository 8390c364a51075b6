/**
 * The calls between control hosts and the hosts that follow them.
 */
import { z } from 'zod'
import { fleetUpdateSchema, followReplySchema, followRequestSchema } from '../protocol/fleet.js'
import { rpcMethod } from './rpcPeer.js'

/** Repeated by the follower; doubles as its heartbeat. */
export const followMethod = rpcMethod('fleet.follow', followRequestSchema, followReplySchema)
/** From a control host to its followers, as things change. The reply says that it is in force there. */
export const fleetUpdateMethod = rpcMethod('fleet.update', fleetUpdateSchema, z.object({}))
