import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';
import { parentPort, workerData } from 'node:worker_threads';

import { SeededRandom } from '@skylarkreach/core/ports';
import { sampleCall } from '@skylarkreach/platform/stand-ins';

import { rawRequest } from './gateway-fixture.js';

const DEADLINE_MS = 3_000;
const BODY = 'x'.repeat(3_000);

/** What the thread of the callers is started with. */
export interface StopCallersOptions {
  readonly address: string;
  readonly seed: number;
  /** Number of callers with a kept connection, and of those without. */
  readonly count: number;
}

/** Order to send one request each, at times within a span. */
export interface SendOrder {
  readonly withinMs: number;
}

/** One request and what its caller received for it. */
export interface CallerResult {
  readonly id: string;
  readonly isKept: boolean;
  /** Whether the connection was open when the request was sent. */
  readonly wasSent: boolean;
  readonly text: string;
  /** Time of day at which the last of it came. */
  readonly receivedAtMs: number;
}

/** Caller with one connection. */
class Caller {
  private socket: Socket | undefined;
  private closed: Promise<void> = Promise.resolve();
  private text = '';
  private receivedAtMs = 0;

  constructor(
    private readonly address: string,
    private readonly id: string,
    private readonly isKept: boolean,
  ) {}

  async open(): Promise<Socket> {
    const [host, port] = this.address.split(':');
    const socket = connect({ host: host ?? '', port: Number(port) });
    this.socket = socket;
    socket.on('data', chunk => {
      this.text += chunk.toString('latin1');
      this.receivedAtMs = Date.now();
    });
    socket.on('error', () => undefined); // a reset shows in what is missing
    this.closed = new Promise(resolve => {
      socket.once('close', () => {
        resolve();
      });
    });
    const connected = new Promise<void>(resolve => {
      socket.once('connect', resolve);
    });
    await Promise.race([connected, this.closed]);
    return socket;
  }

  /** Sends a first request, and keeps the connection. */
  async prepare(): Promise<void> {
    const socket = await this.open();
    const answered = new Promise(resolve => socket.once('data', resolve));
    socket.write(
      rawRequest(sampleCall(`${this.id}-first`, DEADLINE_MS, false)),
    );
    await answered;
  }

  async send(withBody: boolean): Promise<CallerResult> {
    const { id, isKept } = this;
    const socket = this.socket ?? (await this.open());
    this.text = '';
    const wasSent = socket.writable;
    if (wasSent) socket.write(requestText(id, withBody));
    await this.closed;
    const { receivedAtMs, text } = this;
    return { id, isKept, wasSent, text, receivedAtMs };
  }
}

function requestText(id: string, withBody: boolean): string {
  const path = `/postings/${id}`;
  const get = rawRequest({ ...sampleCall(id, DEADLINE_MS, false), path });
  if (!withBody) return get;
  const head = get.replace('GET', 'POST').slice(0, -2);
  return `${head}content-length: ${BODY.length}\r\n\r\n${BODY}`;
}

/** Runs the callers: says when all are prepared, sends on an order and returns the results once all connections are closed. */
async function run({ address, count, seed }: StopCallersOptions) {
  const random = new SeededRandom(seed);
  const callers = Array.from({ length: 2 * count }, (_, index) => {
    const isKept = index < count;
    return new Caller(address, `${isKept ? 'kept' : 'new'}-${index}`, isKept);
  });
  await Promise.all(callers.slice(0, count).map(caller => caller.prepare()));
  parentPort?.once('message', ({ withinMs }: SendOrder) => {
    const results = callers.map(async caller => {
      const withBody = random.nextFloat() < 0.5;
      await delay(random.nextFloat() * withinMs);
      return caller.send(withBody);
    });
    void Promise.all(results).then(all => parentPort?.postMessage(all));
  });
  parentPort?.postMessage('ready');
}

await run(workerData as StopCallersOptions);
