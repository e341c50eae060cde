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

import type { ClaimsVariant } from './claims-variant.js';
import { buildClaims } from './claims-variant.js';
import {
  PausableClock,
  PausableKeyValue,
  ProcessControl,
} from './process-control.js';
import type { RunCounts } from './run-log.js';
import { outcomeOfError, ReportedOutcome, RunLog } from './run-log.js';

const DAEMONS = 3;
const KEYS = 3;
const CALLERS = 8;
const SHARDS = 2;
const WRITES_PER_SECOND = 100;
const START_WINDOW_MS = 1_500;
const CALL_TIMEOUT_MS = 4_000;
const MAX_ATTEMPTS = 3;
const RETRY_DELAY_MS = 300;
const MAX_PAUSE_MS = 5_000;
const MAX_OUTAGE_MS = 2_000;
const MAX_LATE_DELAY_MS = 3_000;
const RUN_END_MS = 40_000;

const PAUSE_PROBABILITY = 0.5;
const KILL_PROBABILITY = 0.3;
const OUTAGE_PROBABILITY = 0.4;
const LATE_WRITE_PROBABILITY = 0.04;

interface DaemonProcess {
  readonly control: ProcessControl;
  readonly claims: Claims;
}

enum ServiceFault {
  None = 'none',
  NotSent = 'notSent',
  /** The service executes the call and its answer is lost. */
  AnswerLost = 'answerLost',
  /** The call is lost before it reaches the service. */
  CallLost = 'callLost',
  /** The caller gets a lost answer, and the service executes the call after that. */
  RunsLate = 'runsLate',
}

/**
 * One seeded simulation of callers and daemons on in-memory fakes, with faults
 * of processes, links, the key-value service and the called service.
 */
export class InterleavingRun {
  private readonly clock = new ManualClock(1_000);
  private readonly random: SeededRandom;
  private readonly log = new RunLog();
  private readonly store = new MemoryKeyValue(this.clock);
  private readonly peers: MemoryPeers;
  private readonly daemons: readonly DaemonProcess[];
  private outageFromMs = Number.POSITIVE_INFINITY;
  private outageUntilMs = Number.POSITIVE_INFINITY;

  constructor(variant: ClaimsVariant, seed: number) {
    this.random = new SeededRandom(seed);
    this.peers = new MemoryPeers(this.clock, () => this.drawLinkFault());
    this.daemons = Array.from({ length: DAEMONS }, (_, index) =>
      this.buildDaemon(variant, `10.0.0.${index}:80`),
    );
  }

  /** Runs the simulation to its end and returns its counts. */
  async run(): Promise<RunCounts> {
    this.scheduleOutage();
    for (const daemon of this.daemons) this.scheduleFaults(daemon);
    for (let callerIndex = 0; callerIndex < CALLERS; callerIndex += 1) {
      void this.runCaller(callerIndex);
    }
    await this.clock.advanceTo(RUN_END_MS);
    return this.log.counts();
  }

  private buildDaemon(variant: ClaimsVariant, address: string): DaemonProcess {
    const control = new ProcessControl(this.clock);
    const clock = new PausableClock(this.clock, control);
    const store = new FaultyKeyValue(this.store, this.clock, () =>
      this.drawStoreFault(),
    );
    const addresses = Array.from(
      { length: DAEMONS },
      (_, index) => `10.0.0.${index}:80`,
    );
    const claims = buildClaims(variant, {
      daemonId: address,
      clock,
      keyValue: new PausableKeyValue(store, this.clock, control, () =>
        this.drawLateWriteDelayMs(),
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
    return { control, claims };
  }

  private scheduleOutage(): void {
    if (!this.drawBoolean(OUTAGE_PROBABILITY)) return;
    this.outageFromMs = this.clock.nowMs() + this.drawMs(START_WINDOW_MS);
    this.outageUntilMs = this.outageFromMs + this.drawMs(MAX_OUTAGE_MS);
  }

  private scheduleFaults({ control }: DaemonProcess): void {
    if (this.drawBoolean(PAUSE_PROBABILITY)) {
      const fromMs = this.clock.nowMs() + this.drawMs(START_WINDOW_MS);
      const untilMs = fromMs + this.drawMs(MAX_PAUSE_MS);
      void this.runAt(fromMs, () => {
        control.pauseUntil(untilMs);
      });
    }
    if (this.drawBoolean(KILL_PROBABILITY)) {
      const atMs = this.clock.nowMs() + this.drawMs(START_WINDOW_MS);
      void this.runAt(atMs, () => {
        control.kill();
      });
    }
  }

  /** Sends a call and retries it under the same key while it is refused or unanswered. */
  private async runCaller(callerIndex: number): Promise<void> {
    const key = `key-${this.random.nextInteger(KEYS)}`;
    await this.clock.waitUntil(
      this.clock.nowMs() + this.drawMs(START_WINDOW_MS),
    );
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt += 1) {
      const requestId = `request-${callerIndex}-${attempt}`;
      const outcome = await this.send(key, requestId);
      this.log.recordAnswer(key, requestId, outcome);
      if (
        outcome === ReportedOutcome.Ran ||
        outcome === ReportedOutcome.Unknown
      )
        return;
      const waitMs = this.drawMs(RETRY_DELAY_MS);
      await this.clock.waitUntil(this.clock.nowMs() + waitMs);
    }
  }

  private async send(key: string, requestId: string): Promise<ReportedOutcome> {
    const daemon = this.daemons[this.random.nextInteger(DAEMONS)];
    if (daemon === undefined) return ReportedOutcome.Unanswered;
    const deadlineAtMs = this.clock.nowMs() + CALL_TIMEOUT_MS;
    const answer = this.sendTo(daemon, key, requestId, deadlineAtMs);
    const timeout = this.clock
      .waitUntil(deadlineAtMs + 1)
      .then(() => ReportedOutcome.Unanswered);
    return Promise.race([answer, timeout]);
  }

  private async sendTo(
    { claims, control }: DaemonProcess,
    idempotencyKey: string,
    requestId: string,
    deadlineAtMs: number,
  ): Promise<ReportedOutcome> {
    await control.waitUntilRunning();
    const intent = {
      workspace: 'northside',
      bodyHash: idempotencyKey,
      idempotencyKey,
      requestId,
      deadlineAtMs,
    };
    try {
      await claims.run(intent, () => this.dispatch(control, intent));
      await control.waitUntilRunning();
      return ReportedOutcome.Ran;
    } catch (error) {
      await control.waitUntilRunning();
      return outcomeOfError(error);
    }
  }

  /** Calls the service; the process may be paused before the first byte is sent. */
  private async dispatch(
    control: ProcessControl,
    call: { idempotencyKey: string; requestId: string },
  ): Promise<ServiceResponse> {
    await control.waitUntilRunning();
    const fault = this.drawServiceFault();
    if (fault === ServiceFault.NotSent)
      throw new NotSentError('The service could not be reached.');
    await this.clock.waitUntil(this.clock.nowMs() + this.drawMs(50));
    if (fault !== ServiceFault.CallLost && fault !== ServiceFault.RunsLate) {
      this.log.recordRun(call.idempotencyKey, call.requestId);
    }
    if (fault === ServiceFault.RunsLate) {
      void this.runAt(
        this.clock.nowMs() + this.drawMs(MAX_LATE_DELAY_MS),
        () => {
          this.log.recordRun(call.idempotencyKey, call.requestId);
        },
      );
    }
    await control.waitUntilRunning();
    if (fault !== ServiceFault.None) throw new AnswerLostError('Lost.');
    return { status: 200, contentType: 'text/plain', body: call.requestId };
  }

  private drawServiceFault(): ServiceFault {
    const draw = this.random.nextFloat();
    if (draw < 0.6) return ServiceFault.None;
    if (draw < 0.75) return ServiceFault.NotSent;
    if (draw < 0.85) return ServiceFault.AnswerLost;
    return draw < 0.92 ? ServiceFault.CallLost : ServiceFault.RunsLate;
  }

  private drawStoreFault(): Fault {
    const nowMs = this.clock.nowMs();
    if (nowMs >= this.outageFromMs && nowMs < this.outageUntilMs) {
      return this.drawBoolean(0.8) ? Fault.Down : Fault.Silent;
    }
    const draw = this.random.nextFloat();
    if (draw < 0.5) return Fault.None;
    if (draw < 0.8) return Fault.Slow;
    if (draw < 0.9) return Fault.AnswerLost;
    if (draw < 0.95) return Fault.CallLost;
    return draw < 0.98 ? Fault.Down : Fault.Silent;
  }

  private drawLinkFault(): Fault {
    const draw = this.random.nextFloat();
    if (draw < 0.8) return Fault.Slow;
    if (draw < 0.88) return Fault.AnswerLost;
    return draw < 0.95 ? Fault.Down : Fault.Silent;
  }

  private drawLateWriteDelayMs(): number | undefined {
    if (!this.drawBoolean(LATE_WRITE_PROBABILITY)) return undefined;
    return this.drawMs(MAX_LATE_DELAY_MS);
  }

  private drawBoolean(probability: number): boolean {
    return this.random.nextFloat() < probability;
  }

  private drawMs(maxMs: number): number {
    return this.random.nextFloat() * maxMs;
  }

  private async runAt(atMs: number, action: () => void): Promise<void> {
    await this.clock.waitUntil(atMs);
    action();
  }
}
