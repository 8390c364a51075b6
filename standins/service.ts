/** The process of a plain service: `node dist/standins/service.js --settings FILE`. */
import { systemClock } from '../src/utils/clock.js'
import { PlainService } from './plainService.js'
import { runStandIn } from './runStandIn.js'
import { serviceSettingsSchema } from './standInSettings.js'

await runStandIn(serviceSettingsSchema, async settings => {
  const service = new PlainService(settings, systemClock)
  await service.start()
  return { address: service.server.address, stop: async () => await service.stop() }
})
