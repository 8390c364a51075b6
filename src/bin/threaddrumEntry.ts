#!/usr/bin/env node
/** `threaddrum-entry`: the program of an entry host. */
import { clientEventCatalogue } from '../clients/clientEvents.js'
import { EntryEvent, entryEventCatalogue } from '../entry/entryEvents.js'
import { entrySettingsSchema } from '../entry/entrySettings.js'
import { rolloutEventCatalogue } from '../entry/rollouts/rolloutEvents.js'
import { startEntry } from '../entry/startEntry.js'
import { runProgram } from '../utils/programMain.js'

await runProgram({
  name: 'threaddrum-entry',
  settingsSchema: entrySettingsSchema,
  eventCatalogue: { ...clientEventCatalogue, ...entryEventCatalogue, ...rolloutEventCatalogue },
  brokenInvariantEvent: EntryEvent.BrokenInvariant,
  requirements: ({ host }) => ({
    addresses: {
      'host.callerAddress': host.callerAddress,
      'host.peerAddress': host.peerAddress,
      'host.operatorAddress': host.operatorAddress
    },
    folders: {}
  }),
  start: startEntry
})
