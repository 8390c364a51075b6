/**
 * RPC methods between entry hosts and control hosts.
 */
import { z } from 'zod'
import {
  changesNotificationSchema, findLeaderReplySchema, queryReplySchema, queryRequestSchema, readIndexReplySchema,
  renewReplySchema, renewRequestSchema, submitReplySchema, submitRequestSchema
} from '../protocol/controlMessages.js'
import { rpcMethod } from './rpcPeer.js'

export const findLeaderMethod = rpcMethod('control.findLeader', z.object({}), findLeaderReplySchema)
export const submitMethod = rpcMethod('control.submit', submitRequestSchema, submitReplySchema)
export const queryMethod = rpcMethod('control.query', queryRequestSchema, queryReplySchema)
export const renewMethod = rpcMethod('control.renew', renewRequestSchema, renewReplySchema)
/** Returns the index that a host that does not lead must have applied before it answers a read. */
export const readIndexMethod = rpcMethod('control.readIndex', z.object({}), readIndexReplySchema)
/** Sent by the leader to entry hosts, one-way. */
export const changesMethod = rpcMethod('control.changes', changesNotificationSchema, z.void())
