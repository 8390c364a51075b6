/**
 * The process of a trainer: `node dist/standins/train.js --settings FILE`.
 * It serves its report at GET /record during and after training.
 */
import { systemClock } from '../src/utils/clock.js'
import { ScopeClosedError } from '../src/utils/errors.js'
import { runStandIn } from './runStandIn.js'
import { sendJson, StandInServer } from './standInServer.js'
import { trainerSettingsSchema } from './standInSettings.js'
import { Trainer } from './trainer.js'

await runStandIn(trainerSettingsSchema, async settings => {
  const trainer = new Trainer(settings, systemClock)
  const server = new StandInServer()
  server.on('GET', '/record', ({ response }) => sendJson(response, 200, trainer.report()))
  await server.listen(settings.listenAddress)
  trainer.run().catch((error: unknown) => {
    if (!(error instanceof ScopeClosedError)) throw error
  })
  const stop = async (): Promise<void> => {
    await trainer.stop()
    await server.kill()
  }
  return { address: server.address, stop }
})
