import type { IncomingMessage } from 'node:http';
import { Agent, request } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import type { Address } from '@skylarkreach/core/ports';

/** Time for which callers wait beyond the request's own limit, so that an answer that is only late still counts as one. */
const PATIENCE_MS = 5_000;

export interface CallerRequest {
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Parts of the body; a request without parts has none. */
  readonly bodyParts: readonly string[];
  readonly partGapMs: number;
  readonly deadlineMs: number;
}

/** What a caller saw of one request. Times are by `performance.now()`. */
export interface CallerResult {
  /** Undefined if the connection ended before a response began. */
  readonly status: number | undefined;
  readonly received: string;
  /** Whether the response was complete. */
  readonly isComplete: boolean;
  /** Time at which the last byte was handed over to an open connection; undefined if none was. */
  readonly wholeAtMs: number | undefined;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  /** Whether the connection had served a request before. */
  readonly isReused: boolean;
  readonly error: string;
}

/** Caller's connection to one daemon, which is used for many requests until it ends. */
export class KeptConnection {
  private readonly agent = new Agent({ keepAlive: true, maxSockets: 1 });
  private socket: Socket | undefined;
  private isLast = false;

  constructor(
    private readonly address: Address,
    readonly gatewayId: string,
  ) {}

  /** Whether another request may be sent on the connection. */
  get isOpen(): boolean {
    return !this.isLast && this.socket?.writable !== false;
  }

  async send(call: CallerRequest): Promise<CallerResult> {
    const { bodyParts, deadlineMs, headers, path } = call;
    const startedAtMs = performance.now();
    const [host, port] = this.address.split(':');
    const message = request({
      host,
      port,
      path,
      headers,
      agent: this.agent,
      method: bodyParts.length > 0 ? 'POST' : 'GET',
      signal: AbortSignal.timeout(deadlineMs + PATIENCE_MS),
    });
    let wholeAtMs: number | undefined;
    message.on('socket', socket => {
      this.socket = socket;
    });
    message.once('finish', () => {
      wholeAtMs = performance.now();
    });
    const response = new Promise<IncomingMessage>((resolve, reject) => {
      message.once('response', resolve);
      message.on('error', reject);
    });
    // A response may come before the body has been sent.
    void this.sendBody(message, call);
    let status: number | undefined;
    let received = '';
    let isComplete = false;
    let error = '';
    try {
      const answer = await response;
      status = answer.statusCode;
      this.isLast ||= answer.headers.connection === 'close';
      for await (const chunk of answer) received += String(chunk);
      isComplete = answer.complete;
    } catch (thrown) {
      error = String(thrown);
      this.isLast = true;
    }
    const endedAtMs = performance.now();
    const times = { startedAtMs, wholeAtMs, endedAtMs };
    const isReused = message.reusedSocket;
    return { status, received, isComplete, isReused, error, ...times };
  }

  close(): void {
    this.isLast = true;
    this.agent.destroy();
  }

  private async sendBody(
    message: ReturnType<typeof request>,
    { bodyParts, partGapMs }: CallerRequest,
  ): Promise<void> {
    for (const part of bodyParts) {
      if (message.destroyed) return;
      message.write(part);
      await delay(partGapMs);
    }
    message.end();
  }
}
