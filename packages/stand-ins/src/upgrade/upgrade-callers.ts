import { setTimeout as delay } from 'node:timers/promises';

import { Agent, request } from 'undici';

import type { Random } from '@skylarkreach/core/ports';
import { sampleCall } from '@skylarkreach/platform/stand-ins';

import type { SoakCall } from '../gateway/index.js';
import { SoakCallKind } from '../gateway/index.js';
import type { DaemonFleet, FleetMachine } from './daemon-fleet.js';

const CALLERS = 10;
const DEADLINE_MS = 3_000;
/** Time after its deadline for which a caller waits before it counts its request as lost. */
const PATIENCE_MS = 2_000;
const MIN_GAP_MS = 10;
const GAP_SPREAD_MS = 60;
/** Mean number of requests on a connection; without new ones, all callers may end up at daemons that are never cut off. */
const REQUESTS_PER_CONNECTION = 10;
const KINDS = [
  SoakCallKind.Lookup,
  SoakCallKind.Lookup,
  SoakCallKind.Posting,
  SoakCallKind.Draft,
];

/** Request of a caller, with what is needed to judge a cut. */
export interface UpgradeCall extends SoakCall {
  readonly sentAtMs: number;
  /** Time from sending until the connection broke; undefined if it did not. */
  readonly cutAfterMs: number | undefined;
}

/** Connection that a caller keeps for a number of requests, or until the daemon closes it or refuses. */
interface KeptConnection {
  readonly machine: FleetMachine;
  readonly agent: Agent;
}

/** Callers that keep their connections for a while, and go to another daemon when they are told to, or cut off. */
export class UpgradeCallers {
  readonly calls: UpgradeCall[] = [];
  private sent = 0;
  private isOver = false;
  private readonly running: Promise<void>[] = [];

  constructor(
    private readonly fleet: DaemonFleet,
    private readonly random: Random,
  ) {}

  start(): void {
    for (let count = 0; count < CALLERS; count += 1)
      this.running.push(this.run());
  }

  async stop(): Promise<void> {
    this.isOver = true;
    await Promise.all(this.running);
  }

  private async run(): Promise<void> {
    let connection = this.connect();
    while (!this.isOver) {
      const isKept = await this.send(connection);
      if (!isKept || this.random.nextInteger(REQUESTS_PER_CONNECTION) === 0) {
        await connection.agent.destroy();
        connection = this.connect();
      }
      await delay(MIN_GAP_MS + this.random.nextInteger(GAP_SPREAD_MS));
    }
    await connection.agent.destroy();
  }

  private connect(): KeptConnection {
    const agent = new Agent({ connections: 1, pipelining: 1 });
    return { machine: this.pick(this.fleet.inRotation()), agent };
  }

  /** Sends one request. Returns whether the connection may be used again. */
  private async send({ agent, machine }: KeptConnection): Promise<boolean> {
    const kind = this.pick(KINDS);
    this.sent += 1;
    const id = `${kind}-${this.sent}`;
    const { headers, path } = sampleCall(
      id,
      DEADLINE_MS,
      kind === SoakCallKind.Draft,
    );
    const isPosting = kind === SoakCallKind.Posting;
    const gatewayId = machine.process.id;
    const sentAtMs = performance.now();
    let status: number | undefined;
    let text: string | undefined;
    let cutAfterMs: number | undefined;
    let isKept = false;
    try {
      const response = await request(
        `http://${machine.settings.callers}${isPosting ? '/postings/a' : path}`,
        {
          method: isPosting ? 'POST' : 'GET',
          headers,
          body: isPosting ? '{"amount":1}' : null,
          dispatcher: agent,
          signal: AbortSignal.timeout(DEADLINE_MS + PATIENCE_MS),
        },
      );
      status = response.statusCode;
      text = await response.body.text();
      isKept = response.headers.connection !== 'close' && status === 200;
    } catch {
      cutAfterMs = performance.now() - sentAtMs;
    }
    this.calls.push({
      ...{ id, kind, gatewayId, sentAtMs, status, text, cutAfterMs },
    });
    return isKept;
  }

  private pick<Item>(items: readonly Item[]): Item {
    const item = items[this.random.nextInteger(items.length)];
    if (item === undefined) throw new Error('There is nothing to pick from.');
    return item;
  }
}
