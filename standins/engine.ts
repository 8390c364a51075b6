/** The process of a model engine: `node dist/standins/engine.js --settings FILE`. */
import { systemClock } from '../src/utils/clock.js'
import { ModelEngine } from './modelEngine.js'
import { runStandIn } from './runStandIn.js'
import { engineSettingsSchema } from './standInSettings.js'

await runStandIn(engineSettingsSchema, async settings => {
  const engine = new ModelEngine(settings, systemClock)
  await engine.start()
  return { address: engine.server.address, stop: async () => await engine.stop() }
})
