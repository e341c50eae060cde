import type { Claims } from '@skylarkreach/core/claims';
import {
  Fault,
  FaultyKeyValue,
  MemoryKeyValue,
  MemoryPeers,
} from '@skylarkreach/core/fakes';
import type { ServiceResponse } from '@skylarkreach/core/ports';
import {
  AnswerLostError,
  ManualClock,
  NotSentError,
  SeededRandom,
} from '@skylarkreach/core/ports';

import type { ClaimsKind } from './claims-kind.js';
import { buildClaims } from './claims-kind.js';
import { Gate, GatedClock, GatedKeyValue } from './gate.js';
import type { RunCounts } from './run-log.js';
import { RunLog, Told, toldBy } from './run-log.js';

const DAEMONS = 3;
const KEYS = 3;
const CALLERS = 8;
const SHARDS = 2;
const WRITES_PER_SECOND = 100;
const START_SPREAD_MS = 1_500;
const CALL_TIMEOUT_MS = 4_000;
const MAX_TRIES = 3;
const RETRY_DELAY_MS = 300;
const MAX_PAUSE_MS = 5_000;
const MAX_OUTAGE_MS = 2_000;
const MAX_LATE_MS = 3_000;
const RUN_END_MS = 40_000;

const PAUSE_CHANCE = 0.5;
const KILL_CHANCE = 0.3;
const OUTAGE_CHANCE = 0.4;
const LATE_WRITE_CHANCE = 0.04;

interface DaemonProcess {
  readonly gate: Gate;
  readonly claims: Claims;
}

enum ServiceFault {
  None = 'none',
  NotSent = 'notSent',
  /** The call runs and its answer is lost. */
  AnswerLost = 'answerLost',
  /** The call is lost on its way. */
  CallLost = 'callLost',
  /** The caller gives up; the call runs after that. */
  RunsLate = 'runsLate',
}

/** One seeded run of callers, daemons and faults on the fakes. */
export class Interleaving {
  private readonly clock = new ManualClock(1_000);
  private readonly random: SeededRandom;
  private readonly log = new RunLog();
  private readonly store = new MemoryKeyValue(this.clock);
  private readonly peers: MemoryPeers;
  private readonly daemons: readonly DaemonProcess[];
  private outageFromMs = Number.POSITIVE_INFINITY;
  private outageUntilMs = Number.POSITIVE_INFINITY;

  constructor(kind: ClaimsKind, seed: number) {
    this.random = new SeededRandom(seed);
    this.peers = new MemoryPeers(this.clock, () => this.pickLinkFault());
    this.daemons = Array.from({ length: DAEMONS }, (_, index) =>
      this.buildDaemon(kind, `10.0.0.${index}:80`),
    );
  }

  /** Plays the run to its end. */
  async play(): Promise<RunCounts> {
    this.planOutage();
    for (const daemon of this.daemons) this.planFaults(daemon);
    for (let caller = 0; caller < CALLERS; caller += 1) {
      void this.playCaller(caller);
    }
    await this.clock.advanceTo(RUN_END_MS);
    return this.log.counts();
  }

  private buildDaemon(kind: ClaimsKind, address: string): DaemonProcess {
    const gate = new Gate(this.clock);
    const clock = new GatedClock(this.clock, gate);
    const store = new FaultyKeyValue(this.store, this.clock, () =>
      this.pickStoreFault(),
    );
    const addresses = Array.from(
      { length: DAEMONS },
      (_, index) => `10.0.0.${index}:80`,
    );
    const claims = buildClaims(kind, {
      daemonId: address,
      clock,
      keyValue: new GatedKeyValue(store, this.clock, gate, () =>
        this.pickLateWriteMs(),
      ),
      random: this.random,
      peers: {
        peer: this.peers.peer(address),
        registry: this.peers.registry(address),
        selfAddress: () => address,
        liveDaemons: () => addresses,
      },
      shards: SHARDS,
      writesPerSecond: WRITES_PER_SECOND,
    });
    return { gate, claims };
  }

  private planOutage(): void {
    if (!this.happens(OUTAGE_CHANCE)) return;
    this.outageFromMs = this.clock.nowMs() + this.pickMs(START_SPREAD_MS);
    this.outageUntilMs = this.outageFromMs + this.pickMs(MAX_OUTAGE_MS);
  }

  private planFaults({ gate }: DaemonProcess): void {
    if (this.happens(PAUSE_CHANCE)) {
      const fromMs = this.clock.nowMs() + this.pickMs(START_SPREAD_MS);
      const untilMs = fromMs + this.pickMs(MAX_PAUSE_MS);
      void this.at(fromMs, () => {
        gate.pauseUntil(untilMs);
      });
    }
    if (this.happens(KILL_CHANCE)) {
      const atMs = this.clock.nowMs() + this.pickMs(START_SPREAD_MS);
      void this.at(atMs, () => {
        gate.kill();
      });
    }
  }

  /** Sends a call, and again under its key while it is refused or unanswered. */
  private async playCaller(caller: number): Promise<void> {
    const key = `key-${this.random.nextInteger(KEYS)}`;
    await this.clock.waitUntil(
      this.clock.nowMs() + this.pickMs(START_SPREAD_MS),
    );
    for (let attempt = 1; attempt <= MAX_TRIES; attempt += 1) {
      const requestId = `request-${caller}-${attempt}`;
      const told = await this.send(key, requestId);
      this.log.recordAnswer(key, requestId, told);
      if (told === Told.Ran || told === Told.Unknown) return;
      const waitMs = this.pickMs(RETRY_DELAY_MS);
      await this.clock.waitUntil(this.clock.nowMs() + waitMs);
    }
  }

  private async send(key: string, requestId: string): Promise<Told> {
    const daemon = this.daemons[this.random.nextInteger(DAEMONS)];
    if (daemon === undefined) return Told.Nothing;
    const deadlineAtMs = this.clock.nowMs() + CALL_TIMEOUT_MS;
    const answer = this.sendTo(daemon, key, requestId, deadlineAtMs);
    const timeout = this.clock
      .waitUntil(deadlineAtMs + 1)
      .then(() => Told.Nothing);
    return Promise.race([answer, timeout]);
  }

  private async sendTo(
    { claims, gate }: DaemonProcess,
    idempotencyKey: string,
    requestId: string,
    deadlineAtMs: number,
  ): Promise<Told> {
    await gate.pass();
    const intent = {
      workspace: 'northside',
      bodyHash: idempotencyKey,
      idempotencyKey,
      requestId,
      deadlineAtMs,
    };
    try {
      await claims.run(intent, () => this.dispatch(gate, intent));
      await gate.pass();
      return Told.Ran;
    } catch (error) {
      await gate.pass();
      return toldBy(error);
    }
  }

  /** One call of the service; the process may be paused before its first byte. */
  private async dispatch(
    gate: Gate,
    call: { idempotencyKey: string; requestId: string },
  ): Promise<ServiceResponse> {
    await gate.pass();
    const fault = this.pickServiceFault();
    if (fault === ServiceFault.NotSent) throw new NotSentError('No route.');
    await this.clock.waitUntil(this.clock.nowMs() + this.pickMs(50));
    if (fault !== ServiceFault.CallLost && fault !== ServiceFault.RunsLate) {
      this.log.recordRun(call.idempotencyKey, call.requestId);
    }
    if (fault === ServiceFault.RunsLate) {
      void this.at(this.clock.nowMs() + this.pickMs(MAX_LATE_MS), () => {
        this.log.recordRun(call.idempotencyKey, call.requestId);
      });
    }
    await gate.pass();
    if (fault !== ServiceFault.None) throw new AnswerLostError('Lost.');
    return { status: 200, contentType: 'text/plain', body: call.requestId };
  }

  private pickServiceFault(): ServiceFault {
    const draw = this.random.nextFloat();
    if (draw < 0.6) return ServiceFault.None;
    if (draw < 0.75) return ServiceFault.NotSent;
    if (draw < 0.85) return ServiceFault.AnswerLost;
    return draw < 0.92 ? ServiceFault.CallLost : ServiceFault.RunsLate;
  }

  private pickStoreFault(): Fault {
    const nowMs = this.clock.nowMs();
    if (nowMs >= this.outageFromMs && nowMs < this.outageUntilMs) {
      return this.happens(0.8) ? Fault.Down : Fault.Silent;
    }
    const draw = this.random.nextFloat();
    if (draw < 0.5) return Fault.None;
    if (draw < 0.8) return Fault.Slow;
    if (draw < 0.9) return Fault.AnswerLost;
    if (draw < 0.95) return Fault.CallLost;
    return draw < 0.98 ? Fault.Down : Fault.Silent;
  }

  private pickLinkFault(): Fault {
    const draw = this.random.nextFloat();
    if (draw < 0.8) return Fault.Slow;
    if (draw < 0.88) return Fault.AnswerLost;
    return draw < 0.95 ? Fault.Down : Fault.Silent;
  }

  private pickLateWriteMs(): number | undefined {
    if (!this.happens(LATE_WRITE_CHANCE)) return undefined;
    return this.pickMs(MAX_LATE_MS);
  }

  private happens(chance: number): boolean {
    return this.random.nextFloat() < chance;
  }

  private pickMs(limitMs: number): number {
    return this.random.nextFloat() * limitMs;
  }

  private async at(atMs: number, action: () => void): Promise<void> {
    await this.clock.waitUntil(atMs);
    action();
  }
}
