import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { AttemptVerdict } from '../forwarding/index.js';
import type { DaemonHints, ReceivedHints } from '../hints/index.js';
import { noopLog, noopMetrics, SeededRandom } from '../ports/index.js';
import { EndpointReachability } from './endpoint-reachability.js';
import { RelayPeers } from './relay-peers.js';

const GROUP = 'ledger';
const NOW_MS = 10_000;
const UNREACHABLE_SINCE_MS = 8_000;
const NONE = new Set<string>();

type Reach = NonNullable<DaemonHints['reachability']>[string];

/** Hints of one peer, received at a time. */
function received(
  daemonId: string,
  reach: Reach | undefined,
  receivedAtMs = NOW_MS - 200,
  evacuationsVersion?: number,
): ReceivedHints {
  const hints: DaemonHints = {
    daemonId,
    lifetime: `${daemonId}/1`,
    sequence: 1,
    ageMs: 0,
    wallMs: 0,
    work: {},
    grantedTokens: {},
    usage: [],
    endpointsVersion: 1,
    rollouts: [],
    holdsDuties: false,
    ...(reach && { reachability: { [GROUP]: reach } }),
    ...(evacuationsVersion !== undefined && { evacuationsVersion }),
  };
  return { hints, receivedAtMs };
}

/** Relay peers of a daemon that has reached no endpoint for two seconds. */
function createPeers(
  all: readonly ReceivedHints[],
  liveIds = all.map(each => each.hints.daemonId),
): RelayPeers {
  const random = new SeededRandom(1);
  const reachability = new EndpointReachability({
    nowMs: () => NOW_MS,
    random,
    log: noopLog,
    metrics: noopMetrics,
    endpoints: () => [],
    probe: { acceptsConnections: () => Promise.resolve(false) },
  });
  reachability.of(GROUP).recordProbe(false, UNREACHABLE_SINCE_MS);
  return new RelayPeers({
    random,
    reachability,
    freshHints: () => all,
    livePeers: () =>
      liveIds.map(id => ({
        id,
        dataCentre: id.startsWith('south') ? 'south-1' : 'north-1',
        peerAddress: `${id}:1`,
        callerUrl: '',
      })),
  });
}

const REACHES: Reach = { isUnreachable: false, heardAgeMs: 100 };

describe('RelayPeers', () => {
  it('reserves no peer that is gone, was tried, is silent, knows no relaying or reaches no endpoint', () => {
    const peers = createPeers(
      [
        received('gone', REACHES),
        received('tried', REACHES),
        received('silent', REACHES, NOW_MS - 2_000),
        received('old', undefined),
        received('cut', { isUnreachable: true, heardAgeMs: 100 }),
      ],
      ['tried', 'silent', 'old', 'cut'],
    );
    const reserved = peers.reserve(GROUP, new Set(['tried']), NOW_MS);
    assert.equal(reserved, undefined);
  });

  it('prefers peers that have heard endpoints since this daemon reached none', () => {
    const stale: Reach = { isUnreachable: false, heardAgeMs: 4_000 };
    const peers = createPeers([
      received('a', stale),
      received('b', REACHES),
      received('c', stale),
    ]);
    for (let count = 0; count < 20; count += 1) {
      const reserved = peers.reserve(GROUP, NONE, NOW_MS);
      assert.equal(reserved?.endpoint.id, 'b');
    }
    const other = peers.reserve(GROUP, new Set(['b']), NOW_MS);
    assert.ok(other !== undefined);
  });

  it('reserves a peer for a request with home regions only in the data centres given, and of a build that knows them', () => {
    const peers = createPeers([
      received('north/a', REACHES, NOW_MS - 200, 0),
      received('south/old build', REACHES),
    ]);
    const south = new Set(['south-1']);
    assert.equal(peers.reserve(GROUP, NONE, NOW_MS, south), undefined);
    const both = new Set(['north-1', 'south-1']);
    for (let count = 0; count < 20; count += 1) {
      const reserved = peers.reserve(GROUP, NONE, NOW_MS, both);
      assert.equal(reserved?.endpoint.id, 'north/a');
    }
  });

  it('spreads requests over 200 peers, so that none gets more than five times its share', () => {
    const peers = createPeers(
      Array.from({ length: 200 }, (_, index) => received(`d${index}`, REACHES)),
    );
    const counts = new Map<string, number>();
    for (let count = 0; count < 1_000; count += 1) {
      const id = peers.reserve(GROUP, NONE, NOW_MS)?.endpoint.id ?? '';
      counts.set(id, (counts.get(id) ?? 0) + 1);
    }
    assert.ok(Math.max(...counts.values()) <= 25);
    assert.ok(counts.size >= 150);
  });

  it('avoids a peer for a second after an attempt through it failed, unless there is no other', () => {
    const peers = createPeers([received('a', REACHES), received('b', REACHES)]);
    const failed = peers.reserve(GROUP, new Set(['b']), NOW_MS);
    failed?.release(AttemptVerdict.Failed, NOW_MS);
    for (let count = 0; count < 20; count += 1) {
      const reserved = peers.reserve(GROUP, NONE, NOW_MS + 500);
      assert.equal(reserved?.endpoint.id, 'b');
    }
    const last = peers.reserve(GROUP, new Set(['b']), NOW_MS + 500);
    assert.equal(last?.endpoint.id, 'a');
  });
});
