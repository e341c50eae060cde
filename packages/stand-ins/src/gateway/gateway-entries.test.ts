import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { sampleEndpointEntry } from '@skylarkreach/platform/stand-ins';

import { GatewayFixture, waitUntil } from './gateway-fixture.js';

const NESTING = 100_000;
const DEEP_ARRAY = '['.repeat(NESTING) + ']'.repeat(NESTING);
/** More entries than the stand-in returns in one page. */
const MANY_ENTRIES = 120;
/** Number of requests of a kind at once: enough that each endpoint in use gets some. */
const REQUESTS = 40;

function entryWith(overrides: Readonly<Record<string, unknown>>): string {
  return sampleEndpointEntry('ledger', '127.0.0.1:1', overrides);
}

/** Returns an entry with a field whose value is given as JSON. */
function entryWithJson(field: string, json: string): string {
  return entryWith({ [field]: 'value' }).replace(
    `"${field}":"value"`,
    () => `"${field}":${json}`,
  );
}

/** Entries that name no endpoint to use. */
const MALFORMED_ENTRIES: Readonly<Record<string, string>> = {
  'nested deeply': DEEP_ARRAY,
  'a field nested deeply': entryWithJson('Slots', DEEP_ARRAY),
  'not closed': '['.repeat(NESTING),
  'a port out of range': entryWith({ Address: '127.0.0.1:65536' }),
  'a port of five nines': entryWith({ Address: '127.0.0.1:99999' }),
  'port 0': entryWith({ Address: '127.0.0.1:0' }),
  'an octet out of range': entryWith({ Address: '127.0.0.256:80' }),
  'an address of no host': entryWith({ Address: '0.0.0.0:80' }),
  'an address without a host': entryWith({ Address: ':80' }),
  'an address without a port': entryWith({ Address: '127.0.0.1' }),
  'an IPv6 address': entryWith({ Address: '[::1]:80' }),
  'a host name': entryWith({ Address: 'localhost:80' }),
  'infinite slots': entryWithJson('Slots', '1e400'),
  'slots too large': entryWithJson('Slots', '1e300'),
  'fractional slots': entryWithJson('Slots', '5e-324'),
  'a start too large': entryWithJson('born', '1e300'),
  'a start before the epoch': entryWithJson('born', '-1'),
  'a remaining time too large': entryWithJson('ColdRemainingMs', '1e308'),
  'a sequence of another type': entryWithJson('Sequence', '"1"'),
  'a missing field': entryWith({ Version: undefined }),
};

describe('a gateway that reads malformed endpoint entries', () => {
  let fixture: GatewayFixture;

  beforeEach(async () => {
    fixture = new GatewayFixture();
    await fixture.start();
  });

  afterEach(async () => {
    await fixture.stop();
  });

  const wiring = () => {
    const [running] = fixture.deployment.gateways;
    assert.ok(running);
    return running.gateway.wiring;
  };

  /** Registers an endpoint and waits until the gateway knows it. */
  const assertListIsFollowed = async () => {
    await fixture.deployment.addEndpoint('ledger', 'ledger-3');
    const isKnown = () =>
      wiring()
        .pool.endpoints()
        .some(each => each.id === 'ledger-3');
    await waitUntil(isKnown);
  };

  const assertRequestsAreServed = async () => {
    const numbers = Array.from({ length: REQUESTS }, (_, index) => index);
    const responses = await Promise.all([
      ...numbers.map(number => fixture.send(`/lookups/${number}`)),
      ...numbers.map(() => fixture.send('/postings/a', {}, { body: '{}' })),
    ]);
    await Promise.all(responses.map(({ body }) => body.dump()));
    for (const { statusCode } of responses) assert.equal(statusCode, 200);
  };

  const knownIds = () =>
    wiring()
      .pool.endpoints()
      .map(each => each.id)
      .sort();

  for (const [name, entry] of Object.entries(MALFORMED_ENTRIES)) {
    it(`uses the other endpoints only, and follows the list: ${name}`, async () => {
      fixture.deployment.store.state.put('servers/odd', entry);
      await assertListIsFollowed();
      await assertRequestsAreServed();
      assert.ok(!knownIds().includes('odd'));
    });
  }

  it('uses no endpoint whose id cannot be sent in a header', async () => {
    const entry = entryWith({});
    for (const id of ['', 'two words', 'line\nend', 'naïve', '\u0000']) {
      fixture.deployment.store.state.put(`servers/${id}`, entry);
    }
    await assertListIsFollowed();
    await assertRequestsAreServed();
    assert.deepEqual(knownIds(), [
      'engine-1',
      'engine-2',
      'ledger-1',
      'ledger-2',
      'ledger-3',
    ]);
  });

  it('follows the list across pages of malformed entries and bytes that are no text', async () => {
    const { state } = fixture.deployment.store;
    const texts = Object.values(MALFORMED_ENTRIES);
    for (let count = 0; count < MANY_ENTRIES; count += 1) {
      state.put(`servers/a-${count}`, texts[count % texts.length] ?? '');
    }
    const bytes = Buffer.from([0xff, 0xfe, 0x00, 0xc3]).toString('base64');
    state.apply({ Puts: [{ Key: 'servers/bytes', Value: bytes }] });
    await assertListIsFollowed();
    await assertRequestsAreServed();
  });

  it('goes on with malformed rollout orders, statuses and registrations of daemons', async () => {
    const { state } = fixture.deployment.store;
    const large = '{"Service":"ledger","Target":"v2","DurationS":1e308}';
    const identity = {
      id: 'odd',
      dataCentre: 'north-1',
      peerAddress: '127.0.0.1:99999',
      callerUrl: 'x',
    };
    for (const [index, text] of [DEEP_ARRAY, large, '1e400'].entries()) {
      state.put(`op/rollout/group-${index}`, text);
      state.put(`status/rollout/group-${index}`, text);
      state.put(`skylarkreach/daemons/odd-${index}`, text);
    }
    state.put('skylarkreach/daemons/odd', JSON.stringify(identity));
    fixture.deployment.writeConfiguration(5);
    await waitUntil(() => wiring().configuration.version === 5);
    await assertListIsFollowed();
    await assertRequestsAreServed();
  });
});
