/**
 * Runs the followers of the measured leader: `followers.js IP COUNT FOLDER`.
 */
import { Scope } from '../../src/utils/scope.js'
import { Supervisor } from '../../src/utils/supervisor.js'
import { membersOf, startStoreReplica } from './storeReplica.js'

const [ip = '127.0.0.1', countText = '3', folder = ''] = process.argv.slice(2)
const members = membersOf(ip, Number(countText))
const supervisor = new Supervisor(new Scope('followers'), (_task, error) => { throw error })
for (let position = 1; position < members.length; position++) await startStoreReplica(members, position, folder, supervisor)
process.stdout.write('listening\n')
process.on('disconnect', () => process.exit(0))
