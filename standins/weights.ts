/** The process of a weight store: `node dist/standins/weights.js --settings FILE`. */
import { systemClock } from '../src/utils/clock.js'
import { runStandIn } from './runStandIn.js'
import { weightStoreSettingsSchema } from './standInSettings.js'
import { WeightStore } from './weightStore.js'

await runStandIn(weightStoreSettingsSchema, async settings => {
  const store = new WeightStore(settings, systemClock)
  await store.start()
  return { address: store.server.address, stop: async () => await store.stop() }
})
