import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import { Fault, MemoryPeers } from '../fakes/index.js';
import type { DaemonIdentity } from '../ports/index.js';
import { ManualClock, noopLog, Priority } from '../ports/index.js';
import {
  rankReplicaHolders,
  RecordReplicator,
  StaticPeerDirectory,
} from './record-replicator.js';
import { RecordStore } from './record-store.js';
import type { RequestRecord } from './request-record.js';
import { findRecordMethod, putRecordMethod } from './request-record.js';

const SEED = 4;
const REQUEST = { workspace: 'northside', requestId: 'request-1' };

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
      ...REQUEST,
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

/** Creates a network of eight daemons in four data centres; calls to an address for which `isDown` is true fail. */
function createNetwork(isDown: (to: string) => boolean = () => false) {
  const clock = new ManualClock();
  const network = new MemoryPeers(clock, (_, to) =>
    isDown(to) ? Fault.Down : Fault.None,
  );
  const replicators = DAEMONS.map(identity => {
    const { dataCentre, peerAddress } = identity;
    const store = new RecordStore();
    const registry = network.registry(peerAddress);
    registry.handle(putRecordMethod, record =>
      Promise.resolve({ stored: store.put(record, clock.nowMs()) }),
    );
    registry.handle(findRecordMethod, name =>
      Promise.resolve({ record: store.find(name, clock.nowMs()) }),
    );
    return new RecordReplicator({
      peer: network.peer(peerAddress),
      directory: new StaticPeerDirectory(
        DAEMONS.filter(daemon => daemon !== identity),
      ),
      log: noopLog,
      clock,
      dataCentre,
    });
  });
  return { replicators, network };
}

describe('RecordReplicator and RecordStore', () => {
  it('rank one holder per data centre, independently of the order of the list', () => {
    const check = fc.property(
      fc.string(),
      fc.shuffledSubarray([...DAEMONS], { minLength: DAEMONS.length }),
      (requestId, shuffled) => {
        const request = { ...REQUEST, requestId };
        const holders = rankReplicaHolders(request, shuffled);
        assert.deepEqual(holders, rankReplicaHolders(request, DAEMONS));
        assert.equal(new Set(holders.map(holder => holder.dataCentre)).size, 4);
      },
    );
    fc.assert(check, { seed: SEED });
  });

  it('find a record from the remaining daemons after the loss of a data centre with a copy', async () => {
    const { replicators, network } = createNetwork();
    const holders = (await replicators[0]?.replicate(recordOf(5))) ?? [];
    const dataCentres = holders.map(({ dataCentre }) => dataCentre);
    assert.equal(new Set(dataCentres).size, 2);
    assert.ok(!dataCentres.includes(DAEMONS[0]?.dataCentre ?? ''));
    for (const { dataCentre, peerAddress } of DAEMONS) {
      if (dataCentre === dataCentres[0]) network.remove(peerAddress);
    }
    const remaining = replicators.filter(
      (_, index) => !dataCentres.includes(DAEMONS[index]?.dataCentre ?? ''),
    );
    for (const replicator of remaining) {
      assert.deepEqual(await replicator.find(REQUEST), recordOf(5));
    }
  });

  it('copy to another data centre if a holder is unreachable', async () => {
    const others = DAEMONS.filter(daemon => daemon.dataCentre !== 'north-1');
    const [first] = rankReplicaHolders(REQUEST, others);
    const { replicators } = createNetwork(to => to === first?.peerAddress);
    const holders = (await replicators[0]?.replicate(recordOf(5))) ?? [];
    assert.equal(holders.length, 2);
    assert.ok(!holders.some(({ id }) => id === first?.id));
  });

  it('keep the latest state of a record until its deadline', () => {
    const store = new RecordStore();
    assert.equal(store.put(recordOf(5), 0), true);
    assert.equal(store.put(recordOf(3), 0), false);
    assert.equal(store.find(REQUEST, 9_999)?.tokens, 5);
    assert.equal(store.find(REQUEST, 10_000), undefined);
    assert.equal(store.find({ ...REQUEST, workspace: 'other' }, 0), undefined);
  });

  it('evict the oldest records above the limit of the store', () => {
    const store = new RecordStore(40);
    const other = {
      ...recordOf(20),
      work: { ...recordOf(20).work, requestId: 'b' },
    };
    store.put(recordOf(20), 0);
    store.put(other, 0);
    assert.equal(store.size, 1);
    assert.equal(store.find({ ...REQUEST, requestId: 'b' }, 0)?.tokens, 20);
  });

  it('do not evict others for a record that is larger than the store', () => {
    const store = new RecordStore(40);
    store.put(recordOf(20), 0);
    const work = { ...recordOf(20).work, requestId: 'b' };
    const large = { ...recordOf(20), work, text: 'x'.repeat(41) };
    assert.equal(store.put(large, 0), false);
    assert.equal(store.find(REQUEST, 0)?.tokens, 20);
  });
});
