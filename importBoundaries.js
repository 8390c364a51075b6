/**
 * Which folder may import from which, checked by the linter. A folder may
 * always import from itself; what is not named here is not allowed.
 */
export const importBoundaries = {
  utils: [],
  protocol: ['utils'],
  clients: ['utils'],
  transport: ['utils', 'protocol'],
  replication: ['utils', 'transport'],
  control: ['utils', 'protocol', 'clients', 'transport', 'replication', 'duties', 'balancing'],
  controlClient: ['utils', 'protocol', 'transport'],
  entry: ['utils', 'protocol', 'clients', 'transport', 'controlClient'],
  fleet: ['utils', 'protocol', 'transport', 'replication'],
  endpoints: ['utils', 'protocol', 'fleet'],
  accounts: ['utils', 'protocol'],
  balancing: ['utils', 'protocol', 'clients', 'accounts'],
  duties: ['utils', 'protocol', 'replication'],
  quarantine: ['utils', 'protocol', 'fleet', 'endpoints'],
  gateway: ['utils', 'protocol', 'fleet', 'endpoints', 'quarantine', 'accounts', 'balancing'],
  batchScheduling: ['utils', 'protocol', 'fleet', 'endpoints'],
  batches: ['utils', 'protocol', 'transport', 'replication', 'fleet', 'endpoints', 'quarantine', 'gateway', 'accounts', 'balancing', 'duties', 'engineSupply', 'batchScheduling'],
  engineSupply: ['utils', 'protocol', 'duties'],
  cli: ['utils', 'protocol'],
  load: ['utils', 'protocol'],
  bin: ['utils', 'protocol', 'clients', 'transport', 'replication', 'control', 'controlClient', 'entry', 'fleet', 'cli', 'load']
}

/** The boundaries as zones of import-x/no-restricted-paths. */
export function boundaryZones () {
  const folders = Object.keys(importBoundaries)
  const zones = folders.map(folder => ({
    target: `./src/${folder}`,
    from: './src',
    except: [folder, ...importBoundaries[folder]].map(name => `./${name}`),
    message: `src/${folder} may import from ${['itself', ...importBoundaries[folder]].join(', ')} only (importBoundaries.js).`
  }))
  const outside = {
    target: './src',
    from: ['./standins', './demo', './tests', './bench', './tools', './platform'],
    message: 'The product does not import from its tests, stand-ins, tools or the adapter to the users\' platform.'
  }
  const adapter = {
    target: './platform',
    from: ['./standins', './demo', './tests', './bench', './tools'],
    message: 'The adapter imports from the product only.'
  }
  return [...zones, outside, adapter]
}
