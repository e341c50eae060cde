import assert from 'node:assert/strict';

import type {
  GatePass,
  GroupRoom,
  PoolReservation,
} from '../../forwarding/index.js';
import { ForwardError } from '../../forwarding/index.js';
import {
  ManualClock,
  noopLog,
  noopMetrics,
  SeededRandom,
} from '../../ports/index.js';
import { QueueGate } from '../index.js';
import { sampleCall, sampleRoom } from './samples.js';

const RESERVATION = { endpoint: { id: 'e1' } } as PoolReservation;

/** Queues of one daemon before one scripted group. */
export class GateHarness {
  readonly clock = new ManualClock();
  readonly sentIds: string[] = [];
  /** Ends of the waits by the ids of the requests. */
  readonly ends = new Map<string, string>();
  room = sampleRoom(1);
  configurationVersion = 1;
  maxRequests = 256;
  isCutOff = false;
  /** Number of requests sent before each poll. */
  readonly sentByPoll: number[] = [];
  reserveCalls = 0;
  /** Room once a request was sent, if it changes then. */
  roomAfterSend: GroupRoom | undefined;
  readonly gate = new QueueGate({
    clock: this.clock,
    nextPoll: () => {
      this.sentByPoll.push(this.sentIds.length);
      return Promise.resolve();
    },
    log: noopLog,
    metrics: noopMetrics,
    random: new SeededRandom(1),
    limits: () => ({ maxRequests: this.maxRequests, maxBytes: 1_000_000 }),
    daemonCount: () => 1,
    room: () => this.room,
    isCutOff: () => this.isCutOff,
    configurationVersion: () => this.configurationVersion,
  });

  /** Offers a request; its end is recorded. */
  offer(
    requestId: string,
    overrides: Parameters<typeof sampleCall>[0] = {},
    signal: AbortSignal = new AbortController().signal,
  ): GatePass {
    const pass = this.gate.open(sampleCall({ requestId, ...overrides }));
    const reserve = () => {
      this.reserveCalls += 1;
      if (this.room.openSlots === 0) return undefined;
      this.sentIds.push(requestId);
      this.room = this.roomAfterSend ?? this.room;
      return RESERVATION;
    };
    pass.reserve(reserve, signal).then(
      reservation => this.ends.set(requestId, reservation ? 'sent' : 'none'),
      (error: unknown) => {
        assert.ok(error instanceof ForwardError);
        const retryInMs = Math.round(error.retryInMs ?? -1);
        this.ends.set(requestId, `${error.kind} ${retryInMs}`);
      },
    );
    return pass;
  }

  /** Fills the three places of a daemon that has learned nothing. */
  fill(): readonly GatePass[] {
    return ['a', 'b', 'c'].map(id => this.offer(id));
  }

  advance(byMs: number): Promise<void> {
    return this.clock.advanceTo(this.clock.nowMs() + byMs);
  }
}
