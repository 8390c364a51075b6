#!/usr/bin/env node
/** `threaddrum-control`: the program of a control host. */
import { clientEventCatalogue } from '../clients/clientEvents.js'
import { controlEventCatalogue, ControlEvent } from '../control/controlEvents.js'
import { ControlProgram } from '../control/controlProgram.js'
import { controlSettingsSchema } from '../control/controlSettings.js'
import { createLedgers } from '../control/ledgers/createLedgers.js'
import { replicationEventCatalogue } from '../replication/replicationEvents.js'
import { runProgram } from '../utils/programMain.js'

await runProgram({
  name: 'threaddrum-control',
  settingsSchema: controlSettingsSchema,
  eventCatalogue: { ...clientEventCatalogue, ...controlEventCatalogue, ...replicationEventCatalogue },
  brokenInvariantEvent: ControlEvent.BrokenInvariant,
  requirements: ({ host, storage }) => ({
    addresses: { 'host.peerAddress': host.peerAddress, 'host.operatorAddress': host.operatorAddress },
    folders: { 'storage.dataFolder': storage.dataFolder }
  }),
  start: async (settings, context) => await ControlProgram.start({ settings, createLedgers, ...context })
})
