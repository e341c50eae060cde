import { setTimeout as delay } from 'node:timers/promises';

import type { SoakPlan } from '../gateway/index.js';
import { pathOf, sampleCall, SoakCallKind, STREAMS } from '../gateway/index.js';
import type { SoakDaemon } from './daemon-faults.js';
import { EXTRA_KEY } from './daemon-faults.js';
import { KeptConnection } from './kept-connection.js';
import type { ProcessCall } from './loss-checks.js';

const CALLERS = 48;
const DEADLINES_MS = [1_500, 3_000, 3_000];
const MIN_CALL_GAP_MS = 5;
const CALL_GAP_SPREAD_MS = 60;
/** Time for which callers leave a connection idle: four fifths of the shortest idle timeout. */
const LONG_IDLE_MS = 800;
const LONG_IDLE_SHARE = 0.05;
const LEAVE_SHARE = 0.03;
const BODY_SHARE = 0.5;
const MAX_PART_GAP_MS = 120;
const KINDS = [
  SoakCallKind.Lookup,
  SoakCallKind.Posting,
  SoakCallKind.Posting,
  SoakCallKind.Draft,
  SoakCallKind.Report,
  SoakCallKind.Volatile,
];

/** Part of a stream that its caller already has. */
interface StreamStart {
  readonly text: string;
  readonly lastEventId: string;
}

/** Callers of a soak, which keep their connections for as long as these are open. */
export class SoakCallers {
  readonly calls: ProcessCall[] = [];
  private requestCount = 0;

  constructor(
    private readonly plan: SoakPlan,
    private readonly pickRouted: () => SoakDaemon,
  ) {}

  async run(endAtMs: number): Promise<void> {
    const callers = Array.from({ length: CALLERS }, () =>
      this.runCaller(endAtMs),
    );
    await Promise.all(callers);
  }

  private async runCaller(endAtMs: number): Promise<void> {
    let connection = this.connect();
    while (performance.now() < endAtMs) {
      if (!connection.isOpen) connection = this.connect();
      await this.call(connection, this.plan.pick(KINDS));
      if (this.plan.happens(LEAVE_SHARE)) connection.close();
      const isLong = this.plan.happens(LONG_IDLE_SHARE);
      const gapMs = this.plan.nextMs(MIN_CALL_GAP_MS, CALL_GAP_SPREAD_MS);
      await delay(isLong ? LONG_IDLE_MS : gapMs);
    }
    connection.close();
  }

  private connect(): KeptConnection {
    const { daemon, processId } = this.pickRouted();
    return new KeptConnection(daemon.callersAddress, processId);
  }

  private async call(
    connection: KeptConnection,
    kind: SoakCallKind,
    start?: StreamStart,
  ): Promise<void> {
    this.requestCount += 1;
    const id = `${kind}-${this.requestCount}`;
    const deadlineMs = this.plan.pick(DEADLINES_MS);
    const call = sampleCall(id, deadlineMs, STREAMS.has(kind));
    const isExtraKey = kind === SoakCallKind.Volatile && this.plan.happens(0.5);
    const hasBody = !STREAMS.has(kind) && this.plan.happens(BODY_SHARE);
    const { isComplete, received, ...result } = await connection.send({
      path: pathOf(kind, call.path, id),
      headers: {
        ...call.headers,
        ...(isExtraKey && { key: EXTRA_KEY }),
        ...(start && { 'last-event-id': start.lastEventId }),
      },
      bodyParts: hasBody ? ['{"amount":', '1', '}'] : [],
      partGapMs: this.plan.nextMs(0, MAX_PART_GAP_MS),
      deadlineMs,
    });
    const whole = (start?.text ?? '') + received;
    const text = isComplete ? whole : undefined;
    const deadlineAtMs = result.startedAtMs + deadlineMs;
    const { gatewayId } = connection;
    this.calls.push({ ...result, id, kind, gatewayId, text, deadlineAtMs });
    const isCut = result.status === 200 && !isComplete;
    if (isCut && kind === SoakCallKind.Draft) await this.resume(whole);
  }

  /** Resumes a stream that was cut, on a new connection, unless it has no event yet. */
  private async resume(received: string): Promise<void> {
    const text = received.slice(0, received.lastIndexOf('\n\n') + 2);
    const lastEventId = [...text.matchAll(/^id: (\d+)$/gm)].at(-1)?.[1];
    if (lastEventId === undefined) return;
    const connection = this.connect();
    await this.call(connection, SoakCallKind.Draft, { text, lastEventId });
    connection.close();
  }
}
