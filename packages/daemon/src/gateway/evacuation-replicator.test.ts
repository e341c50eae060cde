import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { EvacuationState } from '@skylarkreach/core/evacuations';
import { Evacuations } from '@skylarkreach/core/evacuations';
import type { Log, Metrics } from '@skylarkreach/core/ports';
import { noopLog, noopMetrics } from '@skylarkreach/core/ports';

import { EvacuationReplicator } from './evacuation-replicator.js';

function createFixture() {
  const lines: unknown[] = [];
  const gauges: number[] = [];
  const published: EvacuationState[] = [];
  const shared = { version: 0 };
  const log: Log = {
    ...noopLog,
    info: (_component, message, fields) => {
      lines.push([message, fields]);
    },
  };
  const metrics: Metrics = {
    ...noopMetrics,
    gauge: (_name, value) => {
      gauges.push(value);
    },
  };
  const evacuations = new Evacuations();
  const replicator = new EvacuationReplicator({
    evacuations,
    log,
    metrics,
    sharedVersion: () => shared.version,
    publish: state => {
      published.push(state);
      shared.version = state.revision;
      replicator.handleShared(JSON.stringify(state));
    },
  });
  /** Receives a value of a peer. */
  const receive = (version: number, value: unknown) => {
    shared.version = version;
    replicator.handleShared(JSON.stringify(value));
  };
  return { evacuations, gauges, lines, published, receive, replicator };
}

describe('EvacuationReplicator', () => {
  it('logs the start and the end of an evacuation with its revision and source, and nothing else', () => {
    const { gauges, lines, receive, replicator } = createFixture();
    replicator.handleRead({ revision: 3, dataCentres: ['a'] });
    replicator.handleRead({ revision: 4, dataCentres: ['a'] });
    replicator.handleRead(undefined);
    receive(7, { revision: 7, dataCentres: [] });
    assert.deepEqual(lines, [
      [
        'An evacuation is in force.',
        { dataCentre: 'a', revision: 3, source: 'store' },
      ],
      [
        'An evacuation has ended.',
        { dataCentre: 'a', revision: 7, source: 'peer' },
      ],
    ]);
    assert.deepEqual(gauges, [1, 0]);
  });

  // Each daemon of a deployment without evacuations would broadcast each of its reads otherwise.
  it('publishes only what differs from the shared value', () => {
    const { published, receive, replicator } = createFixture();
    replicator.handleRead({ revision: 1, dataCentres: [] });
    receive(2, { revision: 2, dataCentres: ['b', 'a'] });
    replicator.handleRead({ revision: 3, dataCentres: ['a', 'b'] });
    assert.deepEqual(published, []);
    replicator.handleRead({ revision: 4, dataCentres: ['b'] });
    assert.deepEqual(published, [{ revision: 4, dataCentres: ['b'] }]);
  });

  it('says that it lacks a value that it cannot read, until it has read the store', () => {
    const { receive, replicator } = createFixture();
    replicator.handleRead({ revision: 1, dataCentres: [] });
    assert.equal(replicator.heldVersion, 0);
    assert.throws(() => {
      receive(6, { revision: 6, dataCentres: { novel: 1 } });
    });
    assert.equal(replicator.heldVersion, undefined);
    replicator.handleRead({ revision: 6, dataCentres: ['a'] });
    assert.equal(replicator.heldVersion, 6);
  });
});
