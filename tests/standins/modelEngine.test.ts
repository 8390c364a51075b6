import test from 'ava'
import { EventSourceParserStream } from 'eventsource-parser/stream'
import { completionChunkSchema, orderReplySchema, OrderKind, weightsUrl, type CompletionChunk, type Order } from '../../src/protocol/endpoints.js'
import { systemClock } from '../../src/utils/clock.js'
import { ModelEngine } from '../../standins/modelEngine.js'
import { SwapFault } from '../../standins/orderExecutor.js'
import { engineSettingsSchema, weightStoreSettingsSchema } from '../../standins/standInSettings.js'
import { WeightStore } from '../../standins/weightStore.js'
import { tokenAt } from '../../standins/tokenSource.js'

const ADDRESS = '127.0.50.1:0'

async function startEngine (overrides: Record<string, unknown> = {}): Promise<ModelEngine> {
  const settings = engineSettingsSchema.parse({
    listenAddress: ADDRESS,
    entryHosts: [ADDRESS],
    endpointId: 'engine-1',
    pool: 'hints',
    dataCentre: 'hal-a',
    roundMs: 1,
    swapMs: 1,
    ...overrides
  })
  const engine = new ModelEngine(settings, systemClock)
  await engine.start({ announces: false })
  return engine
}

async function * complete (engine: ModelEngine, body: Record<string, unknown>): AsyncGenerator<CompletionChunk> {
  const answer = await fetch(`${engine.server.url}/v1/completions`, {
    method: 'POST',
    body: JSON.stringify({ model: 'practice-lm', stream: true, ...body })
  })
  const events = answer.body!.pipeThrough(new TextDecoderStream()).pipeThrough(new EventSourceParserStream())
  for await (const { data } of events) {
    if (data !== '[DONE]') yield completionChunkSchema.parse(JSON.parse(data))
  }
}

async function sendOrder (engine: ModelEngine, order: Omit<Extract<Order, { kind: OrderKind.LoadVersion }>, 'kind' | 'remaining_ms'>): Promise<unknown> {
  const answer = await fetch(`${engine.server.url}/v1/orders`, {
    method: 'POST',
    body: JSON.stringify({ kind: OrderKind.LoadVersion, remaining_ms: 10_000, ...order })
  })
  return orderReplySchema.parse(await answer.json())
}

async function startStore (): Promise<WeightStore> {
  const store = new WeightStore(weightStoreSettingsSchema.parse({ listenAddress: ADDRESS, weightBytes: 1_000 }), systemClock)
  await store.start()
  for (const version of [1, 2]) store.add(`/v1/weights/${version}`)
  return store
}

test('should resume after the given tokens and record only the tokens it generates', async t => {
  const engine = await startEngine()
  const chunks: CompletionChunk[] = []
  for await (const chunk of complete(engine, { prompt: 'p', seed: 7, request_id: 'r1', max_tokens: 10, resume_tokens: ['a ', 'b ', 'c '] })) chunks.push(chunk)
  const [entry] = engine.record.entries
  t.is(chunks[0]?.token_offset, 3)
  t.deepEqual(chunks.flatMap(({ tokens }) => tokens), entry?.tokens)
  t.is(entry?.tokens[0], tokenAt('p', '7', 0, 3))
  t.is(entry?.spans[0]?.fromToken, 3)
  await engine.kill()
})

test('should report the version of each range of tokens when weights change during a completion', async t => {
  const engine = await startEngine({ meanTokensCount: 10_000 })
  const store = await startStore()
  const versions: number[] = []
  for await (const chunk of complete(engine, { prompt: 'p', seed: 1, max_tokens: 400 })) {
    if (versions.length === 0) await sendOrder(engine, { fencing_number: 1, order_id: 'o1', weight_version: 1, source_url: weightsUrl(store.server.url, 1) })
    versions.push(chunk.weight_version)
  }
  t.deepEqual([...new Set(versions)], [0, 1])
  t.deepEqual(engine.record.entries[0]?.spans.map(({ weightVersion }) => weightVersion), [0, 1])
  await engine.kill()
  await store.stop()
})

test('should refuse an old fencing number only if the engine checks it', async t => {
  const store = await startStore()
  for (const checksFencing of [true, false]) {
    const engine = await startEngine({ checksFencing })
    await sendOrder(engine, { fencing_number: 5, order_id: 'o1', weight_version: 2, source_url: weightsUrl(store.server.url, 2) })
    await sendOrder(engine, { fencing_number: 4, order_id: 'o2', weight_version: 1, source_url: weightsUrl(store.server.url, 1) })
    t.is(engine.weightVersion, checksFencing ? 2 : 1)
    await engine.kill()
  }
  await store.stop()
})

test('should fail a swap before or after the new version takes effect', async t => {
  const engine = await startEngine()
  const store = await startStore()
  engine.setFaults({ swapFaults: [SwapFault.KeepsOldVersion, SwapFault.ReportsFailure] })
  const order = { fencing_number: 1, order_id: 'o1', weight_version: 1, source_url: weightsUrl(store.server.url, 1) }
  t.like(await sendOrder(engine, order), { kind: 'failed', weight_version: 0 })
  t.like(await sendOrder(engine, order), { kind: 'failed', weight_version: 1 })
  await engine.kill()
  await store.stop()
})

test('should cancel a completion whose reader disconnects', async t => {
  const engine = await startEngine({ meanTokensCount: 100_000 })
  for await (const chunk of complete(engine, { prompt: 'p', max_tokens: 100_000 })) {
    if (chunk.token_offset > 0) break
  }
  const [entry] = engine.record.entries
  while (entry?.ended === 'running') await new Promise(resolve => setTimeout(resolve, 5))
  t.is(entry?.ended, 'cancelled')
  await engine.kill()
})
