/**
 * The calls between entry hosts and control hosts.
 */
import { z } from 'zod'
import {
  changesNoticeSchema, findLeaderReplySchema, queryReplySchema, queryRequestSchema, renewReplySchema,
  renewRequestSchema, submitReplySchema, submitRequestSchema
} from '../protocol/controlMessages.js'
import { rpcMethod } from './rpcPeer.js'

export const findLeaderMethod = rpcMethod('control.findLeader', z.object({}), findLeaderReplySchema)
export const submitMethod = rpcMethod('control.submit', submitRequestSchema, submitReplySchema)
export const queryMethod = rpcMethod('control.query', queryRequestSchema, queryReplySchema)
export const renewMethod = rpcMethod('control.renew', renewRequestSchema, renewReplySchema)
/** From the leader to entry hosts, one-way. */
export const changesMethod = rpcMethod('control.changes', changesNoticeSchema, z.void())
