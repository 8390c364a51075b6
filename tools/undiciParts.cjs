/**
 * The parts of undici that the programs on the users' platform use, in place of
 * all of it: what its index adds to pools, and nothing of its other clients.
 * 10 MB less resident and 0.07 s less processor time for each start of the entry
 * program (four starts each, with code cache). Tested against a server, since
 * the parts are not its public interface.
 */
'use strict'
const api = require('undici/lib/api')
const errors = require('undici/lib/core/errors.js')
const Dispatcher = require('undici/lib/dispatcher/dispatcher.js')
const Pool = require('undici/lib/dispatcher/pool.js')

Object.assign(Dispatcher.prototype, api)

module.exports = { errors, Pool }
