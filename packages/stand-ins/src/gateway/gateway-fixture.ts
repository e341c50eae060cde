import { connect } from 'node:net';

import { Agent, request } from 'undici';

import type { SampleCall } from '@skylarkreach/platform/stand-ins';
import { SAMPLE_HOST, SAMPLE_KEY } from '@skylarkreach/platform/stand-ins';

import { GatewayDeployment } from './gateway-deployment.js';

/** Longest time that `waitUntil` waits. */
const WAIT_TIMEOUT_MS = 5_000;
const POLL_INTERVAL_MS = 5;
const DEFAULT_DEADLINE_MS = 1_500;

export interface SendOptions {
  readonly body?: string;
  readonly signal?: AbortSignal;
}

/** Thrown when a connection breaks. */
export class ConnectionError extends Error {
  override readonly name = 'ConnectionError';

  constructor(
    readonly code: string | undefined,
    /** Text received until then. */
    readonly received: string,
  ) {
    super(`The connection broke with ${code ?? 'an unknown error'}.`);
  }
}

async function addDefaultEndpoints(
  deployment: GatewayDeployment,
): Promise<void> {
  await deployment.addEndpoint('ledger', 'ledger-1');
  await deployment.addEndpoint('ledger', 'ledger-2');
  await deployment.addEndpoint('engines', 'engine-1');
  await deployment.addEndpoint('engines', 'engine-2');
}

/** One gateway daemon with endpoints, by default two plain services and two engines, and an HTTP client as the caller. */
export class GatewayFixture {
  readonly deployment = new GatewayDeployment();
  private readonly agent = new Agent();
  private address = '';
  private nextRequestNumber = 1;

  constructor(private readonly addEndpoints = addDefaultEndpoints) {}

  async start(): Promise<void> {
    await this.deployment.start();
    await this.addEndpoints(this.deployment);
    const { addresses } = await this.deployment.addGateway('daemon-1');
    this.address = addresses.callers;
  }

  async stop(): Promise<void> {
    await this.agent.destroy();
    await this.deployment.destroy();
  }

  /** Address at which the gateway serves callers. */
  get callersAddress(): string {
    return this.address;
  }

  /** Sends a request with sample credentials; a request with a body is a POST. */
  send(
    path: string,
    headers: Readonly<Record<string, string>> = {},
    { body, signal }: SendOptions = {},
  ) {
    const requestId = `request-${this.nextRequestNumber}`;
    this.nextRequestNumber += 1;
    return request(`http://${this.address}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: {
        host: SAMPLE_HOST,
        'request-id': requestId,
        key: SAMPLE_KEY,
        'deadline-ms': String(DEFAULT_DEADLINE_MS),
        ...headers,
      },
      body: body ?? null,
      signal: signal ?? null,
      dispatcher: this.agent,
    });
  }

  /** Sends a GET request and returns the status of the response. */
  async statusOf(
    path: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<number> {
    const { body, statusCode } = await this.send(path, headers);
    await body.dump();
    return statusCode;
  }

  /** Returns the requests that the endpoints ran. */
  runs() {
    return this.deployment.endpoints.flatMap(endpoint => endpoint.runs);
  }

  /** Sends raw text on a new connection and returns what is received until the connection ends. Throws `ConnectionError`. */
  sendRaw(text: string): Promise<string> {
    const [host = '', port] = this.address.split(':');
    return new Promise((resolve, reject) => {
      const socket = connect(Number(port), host);
      let received = '';
      socket.on('data', chunk => {
        received += chunk.toString('latin1');
      });
      socket.on('end', () => {
        resolve(received);
      });
      socket.on('error', (error: NodeJS.ErrnoException) => {
        reject(new ConnectionError(error.code, received));
      });
      socket.write(text);
    });
  }
}

/** Holds up the event loop, as a slow processor does. */
export function stall(forMs: number): void {
  const endsAtMs = performance.now() + forMs;
  while (performance.now() < endsAtMs);
}

/** Returns the text of a GET request. */
export function rawRequest({ headers, path }: SampleCall): string {
  const lines = Object.entries(headers).map(
    ([name, value]) => `${name}: ${value}\r\n`,
  );
  return `GET ${path} HTTP/1.1\r\n${lines.join('')}\r\n`;
}

/** Polls until the condition holds. Throws an `Error` after 5 s. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  const deadlineAtMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!condition()) {
    if (performance.now() >= deadlineAtMs) {
      throw new Error(
        `Timed out after ${WAIT_TIMEOUT_MS} ms waiting for a condition.`,
      );
    }
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}
