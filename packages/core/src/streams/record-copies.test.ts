import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { Fault, MemoryPeers } from '../fakes/index.js';
import type { DaemonIdentity } from '../ports/index.js';
import { ManualClock, Priority, silentLog } from '../ports/index.js';
import { PeerList, RecordCopies, recordHolders } from './record-copies.js';
import { RecordStore } from './record-store.js';
import type { RequestRecord } from './request-record.js';
import { findRecordMethod, putRecordMethod } from './request-record.js';

const SEED = 4;
const NAME = { workspace: 'northside', requestId: 'request-1' };

const DAEMONS: readonly DaemonIdentity[] = [1, 2, 3, 4, 5, 6, 7, 8].map(
  index => ({
    id: `daemon-${index}`,
    dataCentre: `north-${index % 4}`,
    peerAddress: `10.0.0.${index}:9000`,
    callerUrl: `http://10.0.0.${index}`,
  }),
);

function recordOf(tokens: number): RequestRecord {
  return {
    work: {
      ...NAME,
      kind: 'chat',
      group: 'model',
      messages: [{ role: 'user', content: 'question' }],
      maxTokens: 30,
      priority: Priority.Standard,
      deadlineAtMs: 10_000,
    },
    text: 'x'.repeat(tokens),
    tokens,
  };
}

/** Eight daemons in four data centres; `isDown` cuts links. */
function createNetwork(isDown: (to: string) => boolean = () => false) {
  const clock = new ManualClock();
  const network = new MemoryPeers(clock, (_, to) =>
    isDown(to) ? Fault.Down : Fault.None,
  );
  const copies = DAEMONS.map(identity => {
    const { dataCentre, peerAddress } = identity;
    const store = new RecordStore();
    const registry = network.registry(peerAddress);
    registry.handle(putRecordMethod, record =>
      Promise.resolve({ stored: store.put(record, clock.nowMs()) }),
    );
    registry.handle(findRecordMethod, name =>
      Promise.resolve({ record: store.find(name, clock.nowMs()) }),
    );
    return new RecordCopies({
      peer: network.peer(peerAddress),
      directory: new PeerList(DAEMONS.filter(each => each !== identity)),
      log: silentLog,
      clock,
      dataCentre,
    });
  });
  return { copies, network };
}

describe('copies of records', () => {
  it('have one holder in each data centre, the same for every order of the list', () => {
    const check = fc.property(
      fc.string(),
      fc.shuffledSubarray([...DAEMONS], { minLength: DAEMONS.length }),
      (requestId, shuffled) => {
        const name = { ...NAME, requestId };
        const holders = recordHolders(name, shuffled);
        assert.deepEqual(holders, recordHolders(name, DAEMONS));
        assert.equal(new Set(holders.map(each => each.dataCentre)).size, 4);
      },
    );
    fc.assert(check, { seed: SEED });
  });

  it('are found from every daemon, also after another data centre is lost', async () => {
    const { copies, network } = createNetwork();
    const taken = (await copies[0]?.send(recordOf(5))) ?? [];
    const places = taken.map(({ dataCentre }) => dataCentre);
    assert.equal(new Set(places).size, 2);
    assert.ok(!places.includes(DAEMONS[0]?.dataCentre ?? ''));
    for (const { dataCentre, peerAddress } of DAEMONS) {
      if (dataCentre === places[0]) network.remove(peerAddress);
    }
    const outside = copies.filter(
      (_, index) => !places.includes(DAEMONS[index]?.dataCentre ?? ''),
    );
    for (const daemon of outside) {
      assert.deepEqual(await daemon.find(NAME), recordOf(5));
    }
  });

  it('go to another data centre where a holder cannot be reached', async () => {
    const others = DAEMONS.filter(each => each.dataCentre !== 'north-1');
    const [first] = recordHolders(NAME, others);
    const { copies } = createNetwork(to => to === first?.peerAddress);
    const taken = (await copies[0]?.send(recordOf(5))) ?? [];
    assert.equal(taken.length, 2);
    assert.ok(!taken.some(({ id }) => id === first?.id));
  });

  it('are kept in their latest state until their deadline', () => {
    const store = new RecordStore();
    assert.equal(store.put(recordOf(5), 0), true);
    assert.equal(store.put(recordOf(3), 0), false);
    assert.equal(store.find(NAME, 9_999)?.tokens, 5);
    assert.equal(store.find(NAME, 10_000), undefined);
    assert.equal(store.find({ ...NAME, workspace: 'other' }, 0), undefined);
  });

  it('are dropped, oldest first, over the limit of the store', () => {
    const store = new RecordStore(40);
    const other = {
      ...recordOf(20),
      work: { ...recordOf(20).work, requestId: 'b' },
    };
    store.put(recordOf(20), 0);
    store.put(other, 0);
    assert.equal(store.size, 1);
    assert.equal(store.find({ ...NAME, requestId: 'b' }, 0)?.tokens, 20);
  });
});
