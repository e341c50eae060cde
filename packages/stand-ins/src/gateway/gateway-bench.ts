import { connect } from 'node:net';

import { Agent, request } from 'undici';

import { SAMPLE_HOST, SAMPLE_KEY } from '@skylarkreach/platform/stand-ins';

import { PlatformDeployment } from './platform-deployment.js';

/** Waits end after this time at the latest, in milliseconds. */
const LIMIT_MS = 5_000;
const STEP_MS = 5;
const DEADLINE_MS = 1_500;

export interface SendOptions {
  readonly body?: string;
  readonly signal?: AbortSignal;
}

/** One daemon before two plain workers and two engines, with a caller. */
export class GatewayBench {
  readonly deployment = new PlatformDeployment();
  private readonly agent = new Agent();
  private address = '';
  private nextId = 1;

  async start(): Promise<void> {
    await this.deployment.start();
    await this.deployment.addWorker('ledger', 'ledger-1');
    await this.deployment.addWorker('ledger', 'ledger-2');
    await this.deployment.addWorker('engines', 'engine-1');
    await this.deployment.addWorker('engines', 'engine-2');
    const { addresses } = await this.deployment.addGateway('daemon-1');
    this.address = addresses.callers;
  }

  async stop(): Promise<void> {
    await this.agent.destroy();
    await this.deployment.destroy();
  }

  send(
    path: string,
    headers: Readonly<Record<string, string>> = {},
    { body, signal }: SendOptions = {},
  ) {
    const requestId = `request-${this.nextId}`;
    this.nextId += 1;
    return request(`http://${this.address}${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: {
        host: SAMPLE_HOST,
        'request-id': requestId,
        key: SAMPLE_KEY,
        'deadline-ms': String(DEADLINE_MS),
        ...headers,
      },
      body: body ?? null,
      signal: signal ?? null,
      dispatcher: this.agent,
    });
  }

  async statusOf(
    path: string,
    headers: Readonly<Record<string, string>> = {},
  ): Promise<number> {
    const { body, statusCode } = await this.send(path, headers);
    await body.dump();
    return statusCode;
  }

  /** Requests that any worker ran. */
  runs() {
    return this.deployment.workers.flatMap(worker => worker.runs);
  }

  /** Sends raw bytes and returns what comes back until the connection ends. */
  exchange(text: string): Promise<string> {
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
      socket.on('error', reject);
      socket.write(text);
    });
  }
}

/** Waits until the condition holds. Throws where it does not within 5 s. */
export async function until(condition: () => boolean): Promise<void> {
  const endsAtMs = performance.now() + LIMIT_MS;
  while (!condition()) {
    if (performance.now() >= endsAtMs) {
      throw new Error(`The condition did not hold within ${LIMIT_MS} ms.`);
    }
    await new Promise(resolve => setTimeout(resolve, STEP_MS));
  }
}
