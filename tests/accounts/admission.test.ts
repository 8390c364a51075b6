import test from 'ava'
import { AccountTable } from '../../src/accounts/accountTable.js'
import { admit, AdmissionProblem, CONNECTED_WITHIN_MS, type Admission, type CallContext } from '../../src/accounts/admission.js'
import { CallerAdmission } from '../../src/accounts/callerAdmission.js'
import { digestOfKey, isSameDigest, shortDigest } from '../../src/accounts/keyDigest.js'
import { routing } from '../fixtures/fleet/fleetFixtures.js'

const KEY = 'key of learners'
const lenient = { isRevocationStrict: false, revokeMs: 5_000 }
const strict = { isRevocationStrict: true, revokeMs: 5_000 }
const accounts = new AccountTable([
  { name: 'learners', keyDigests: [digestOfKey(KEY), digestOfKey('another key of learners')], priority: 1 },
  { name: 'trainers', keyDigests: [digestOfKey('key of trainers')] },
  { name: 'keyless', keyDigests: [] }
])

function caller (changes: Partial<CallContext> = {}): CallContext {
  return { accounts, isPublic: false, keyDigest: digestOfKey(KEY), disconnectedMs: 0, ...changes }
}

const learners: Admission = { kind: 'admitted', account: 'learners', priority: 1 }
const nobody: Admission = { kind: 'admitted', account: undefined, priority: undefined }
const unknownDigest = digestOfKey('nobody has this')

const cases: Array<[string, CallContext, typeof lenient, Admission]> = [
  ['a key for the account that it belongs to', caller(), lenient, learners],
  ['every key of an account', caller({ keyDigest: digestOfKey('another key of learners') }), lenient, learners],
  ['every caller where callers need no key', caller({ accounts: undefined, keyDigest: undefined }), lenient, { kind: 'open' }],
  ['a public route without a key for no account', caller({ isPublic: true, keyDigest: undefined }), lenient, nobody],
  ['a public route with an unknown key for no account', caller({ isPublic: true, keyDigest: unknownDigest }), lenient, nobody],
  ['a public route with a known key for the account that it belongs to', caller({ isPublic: true }), lenient, learners],
  ['no caller without a key', caller({ keyDigest: undefined }), lenient, { kind: 'refused', reason: AdmissionProblem.MissingKey }],
  ['no unknown key while the host is connected', caller({ keyDigest: unknownDigest, disconnectedMs: CONNECTED_WITHIN_MS }), lenient, { kind: 'refused', reason: AdmissionProblem.UnknownKey }],
  ['an unknown key later, once the host is connected again', caller({ keyDigest: unknownDigest, disconnectedMs: CONNECTED_WITHIN_MS + 1 }), lenient, { kind: 'unsure', reason: AdmissionProblem.UnknownKey }],
  ['a known key at a disconnected host where revocation is lenient', caller({ disconnectedMs: Number.POSITIVE_INFINITY }), lenient, learners],
  ['a known key up to the bound where revocation is strict', caller({ disconnectedMs: 5_000 }), strict, learners],
  ['no known key beyond the bound where revocation is strict', caller({ disconnectedMs: 5_001 }), strict, { kind: 'unsure', reason: AdmissionProblem.Disconnected }],
  ['a public route beyond that bound for no account', caller({ disconnectedMs: 5_001, isPublic: true }), strict, nobody]
]

for (const [what, call, policy, expected] of cases) {
  test(`should admit ${what}`, t => {
    t.deepEqual(admit(call, policy), expected)
  })
}

test('should decide each call by the version in force at that moment', t => {
  const admission = new CallerAdmission({ policy: lenient, disconnectedMs: () => 0 })
  const routingWith = (version: number, holder: string | undefined) => ({ ...routing(version), accounts: [{ name: holder ?? 'other', keyDigests: holder === undefined ? [] : [digestOfKey(KEY)] }] })
  t.like(admission.decide(routingWith(1, 'learners'), false, KEY).admission, { kind: 'admitted', account: 'learners' })
  t.like(admission.decide(routingWith(2, undefined), false, KEY).admission, { kind: 'refused' })
  t.like(admission.decide(routingWith(3, 'trainers'), false, KEY).admission, { kind: 'admitted', account: 'trainers' })
  t.is(admission.decide(routing(4), false, KEY).admission.kind, 'open')
})

test('should name a key by the start of its digest alone', t => {
  const { keyName } = new CallerAdmission({ policy: lenient, disconnectedMs: () => 0 }).decide({ ...routing(1), accounts: [] }, false, KEY)
  t.is(keyName, shortDigest(digestOfKey(KEY)))
  t.false(keyName?.includes(KEY))
})

test('should distinguish digests with the same beginning', t => {
  const digest = digestOfKey(KEY)
  const alike = shortDigest(digest) + digestOfKey('other').slice(shortDigest(digest).length)
  t.false(isSameDigest(digest, alike))
  t.is(new AccountTable([{ name: 'a', keyDigests: [alike] }, { name: 'b', keyDigests: [digest] }]).holderOf(digest)?.name, 'b')
})
