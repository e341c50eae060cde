import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import type { PoolReservation } from '../forwarding/index.js';
import { ForwardError, ForwardErrorKind } from '../forwarding/index.js';
import { GateHarness, sampleCall } from './fakes/index.js';

const RESERVATION = { endpoint: { id: 'home' } } as PoolReservation;

/** A daemon where the endpoints of the scope `south` are paused until a time. */
function create(pausedUntilMs: number) {
  const harness = new GateHarness();
  const sent: string[] = [];
  let looks = 0;
  const nowMs = () => harness.clock.nowMs();
  const offer = (requestId: string, overrides = {}) => {
    const pass = harness.gate.open(
      sampleCall({
        requestId,
        scope: 'south',
        closedForMs: atMs =>
          atMs < pausedUntilMs ? pausedUntilMs - atMs : undefined,
        ...overrides,
      }),
    );
    const reserve = () => {
      looks += 1;
      if (nowMs() < pausedUntilMs) return undefined;
      sent.push(requestId);
      return RESERVATION;
    };
    return pass.reserve(reserve, new AbortController().signal);
  };
  return { harness, offer, sent, looks: () => looks };
}

describe('a request whose own endpoints are paused while others of its group are not', () => {
  // It was refused, as no endpoint was reachable for it.
  it('waits until one of them may be sent a request', async () => {
    const { harness, offer, sent } = create(600);
    const served = offer('limited');
    await harness.advance(590);
    assert.deepEqual(sent, []);
    await harness.advance(60);
    assert.deepEqual(sent, ['limited']);
    assert.equal(await served, RESERVATION);
  });

  it('holds up no other request', async () => {
    const { harness, offer, sent } = create(600);
    for (let index = 0; index < 20; index += 1)
      void offer(`limited-${index}`, { priority: 0 });
    await harness.advance(10);
    for (const id of ['a', 'b']) harness.offer(id);
    await harness.advance(0);
    assert.deepEqual(harness.sentIds, ['a', 'b']);
    assert.deepEqual(sent, []);
  });

  // A look at all endpoints for each of them every 50 ms takes more processor time than small instances have.
  it('waits with one look at the endpoints in 250 ms for all that may use the same ones', async () => {
    const { harness, looks, offer } = create(900);
    for (let index = 0; index < 100; index += 1) void offer(`l-${index}`);
    await harness.advance(840);
    assert.ok(looks() <= 8, `${looks()} looks`);
  });

  it('is refused on its way once it can no longer meet its objective', async () => {
    const { harness, offer } = create(3_000);
    const served = offer('limited');
    await harness.advance(1_100);
    assert.equal(await served, undefined);
  });
});

describe('QueueGate.recheckWaiting', () => {
  // They learned of an evacuation only as they were sent.
  it('refuses at once what is no longer admitted, without waiting for its timer', async () => {
    const harness = new GateHarness();
    harness.fill();
    let isEvacuated = false;
    harness.offer('home', {
      recheck: () => {
        if (isEvacuated)
          throw new ForwardError(ForwardErrorKind.Evacuated, 'away', 1_000);
      },
    });
    harness.offer('other');
    await harness.advance(60);
    isEvacuated = true;
    harness.gate.recheckWaiting();
    await harness.advance(0);
    assert.equal(harness.ends.get('home'), 'evacuated 1000');
    assert.equal(harness.ends.get('other'), undefined);
    assert.equal(harness.gate.dumpState(60)[0]?.waiting, 1);
  });
});
