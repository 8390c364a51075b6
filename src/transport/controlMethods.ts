/**
 * The calls between entry hosts and control hosts.
 */
import { z } from 'zod'
import {
  changesNoticeSchema, findLeaderReplySchema, queryReplySchema, queryRequestSchema, readIndexReplySchema,
  renewReplySchema, renewRequestSchema, submitReplySchema, submitRequestSchema
} from '../protocol/controlMessages.js'
import { rpcMethod } from './rpcPeer.js'

export const findLeaderMethod = rpcMethod('control.findLeader', z.object({}), findLeaderReplySchema)
export const submitMethod = rpcMethod('control.submit', submitRequestSchema, submitReplySchema)
export const queryMethod = rpcMethod('control.query', queryRequestSchema, queryReplySchema)
export const renewMethod = rpcMethod('control.renew', renewRequestSchema, renewReplySchema)
/** The index that a host which does not lead has to have applied before it answers a read. */
export const readIndexMethod = rpcMethod('control.readIndex', z.object({}), readIndexReplySchema)
/** From the leader to entry hosts, one-way. */
export const changesMethod = rpcMethod('control.changes', changesNoticeSchema, z.void())
