/** The process of a scoring service: `node dist/standins/scoring.js --settings FILE`. */
import { systemClock } from '../src/utils/clock.js'
import { runStandIn } from './runStandIn.js'
import { createScoringService } from './scoringService.js'
import { serviceSettingsSchema } from './standInSettings.js'

await runStandIn(serviceSettingsSchema, async settings => {
  const service = createScoringService(settings, systemClock)
  await service.start()
  return { address: service.server.address, stop: async () => await service.stop() }
})
