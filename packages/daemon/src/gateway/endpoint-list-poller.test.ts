import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { EndpointSource } from '@skylarkreach/core/forwarding';
import {
  AnswerLostError,
  LogComponent,
  ManualClock,
  noopLog,
  noopMetrics,
  SeededRandom,
} from '@skylarkreach/core/ports';

import { DependencyMonitor } from './dependency-monitor.js';
import { EndpointListPoller } from './endpoint-list-poller.js';

const INTERVAL_MS = 1_200;
const START_MS = 1_000;

describe('EndpointListPoller', () => {
  it('reads the list through a store that takes longer than the first read allows', async () => {
    const clock = new ManualClock(START_MS);
    const responseMs = 1_000;
    const source: EndpointSource = {
      readNow: async deadlineAtMs => {
        const answersAtMs = clock.nowMs() + responseMs;
        await clock.advanceTo(Math.min(answersAtMs, deadlineAtMs));
        if (answersAtMs > deadlineAtMs) throw new AnswerLostError('too slow');
        return { revision: 1, endpoints: [], malformed: 0 };
      },
    };
    let readAtMs: number | undefined;
    const poller = new EndpointListPoller({
      source,
      clock,
      random: new SeededRandom(1),
      log: noopLog,
      metrics: noopMetrics,
      monitor: new DependencyMonitor(
        'endpoints',
        LogComponent.Routing,
        noopLog,
        noopMetrics,
      ),
      intervalMs: INTERVAL_MS,
      lastPeerReadAtMs: () => -Infinity,
      onListing: () => {
        readAtMs = clock.nowMs();
      },
    });
    while (readAtMs === undefined && clock.nowMs() < START_MS + 10_000) {
      await poller.step();
      await clock.advanceTo(poller.nextAtMs(clock.nowMs()));
    }
    assert.ok(readAtMs !== undefined, 'no read succeeded');
    assert.ok(readAtMs - START_MS < 3_000);
  });
});
