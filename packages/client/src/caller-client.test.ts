import assert from 'node:assert/strict';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { after, describe, it } from 'node:test';

import { CallerClient } from './caller-client.js';
import { OutcomeUnknownError, ProblemError } from './errors.js';

const DEADLINE_AT_MS = Date.parse('2100-01-01T00:00:00Z');
const CHAT = {
  messages: [{ role: 'user', content: 'question' }],
  deadlineAtMs: DEADLINE_AT_MS,
  requestId: 'request-1',
};

type ResponseScript = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

interface ReceivedRequest {
  readonly line: string;
  readonly lastEventId: string | undefined;
  readonly body: string;
}

/** HTTP server that responds to its requests by a list of scripts, one per request. */
class ScriptedDaemon {
  readonly received: ReceivedRequest[] = [];
  url = '';
  private readonly server: Server;

  constructor(private readonly scripts: ResponseScript[]) {
    this.server = createServer((request, response) => {
      void this.serve(request, response);
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>(resolve => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = this.server.address() as AddressInfo;
    this.url = `http://127.0.0.1:${port}`;
    return this.url;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private async serve(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    let body = '';
    for await (const bytes of request) body += String(bytes);
    const lastEventId = request.headers['last-event-id'];
    this.received.push({
      line: `${request.method ?? ''} ${request.url ?? ''}`,
      lastEventId: typeof lastEventId === 'string' ? lastEventId : undefined,
      body,
    });
    this.scripts.shift()?.(request, response);
  }
}

function chunk(id: string, content: string): string {
  const data = JSON.stringify({ choices: [{ delta: { content } }] });
  return `id: ${id}\ndata: ${data}\n\n`;
}

function events(...texts: string[]): ResponseScript {
  return (_, response) => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    response.end(texts.join(''));
  };
}

function problem(kind: string, status: number, extra = {}): ResponseScript {
  return (_, response) => {
    const type = `urn:skylarkreach:problem:${kind}`;
    response.writeHead(status);
    response.end(
      JSON.stringify({
        ...{ type, status, title: 'Failed.', remedy: 'Wait.' },
        ...{ outcome: 'notRun', ...extra },
      }),
    );
  };
}

const DONE = 'data: [DONE]\n\n';

describe('CallerClient', () => {
  const daemons: ScriptedDaemon[] = [];
  const clients: CallerClient[] = [];

  after(async () => {
    for (const daemon of daemons) daemon.close();
    for (const client of clients) await client.close();
  });

  async function startDaemons(...scripts: ResponseScript[][]) {
    const started = scripts.map(
      daemonScripts => new ScriptedDaemon(daemonScripts),
    );
    for (const daemon of started) await daemon.listen();
    const client = new CallerClient({
      addresses: started.map(daemon => daemon.url),
      token: 'token-1',
      silenceTimeoutMs: 200,
      firstByteTimeoutMs: 500,
    });
    daemons.push(...started);
    clients.push(client);
    return { client, started };
  }

  it('resumes a broken stream on the next daemon', async () => {
    const { client, started } = await startDaemons(
      [events(chunk('1', 'one '))],
      [events(chunk('2', 'two'), DONE)],
    );
    assert.equal(await client.send(CHAT), 'one two');
    const [resumed] = started[1]?.received ?? [];
    assert.equal(resumed?.line, 'GET /v1/requests/request-1/events');
    assert.equal(resumed.lastEventId, '1');
  });

  it('resumes a stream after its idle timeout', async () => {
    const silent: ResponseScript = (_, response) => {
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      response.write(chunk('1', 'one '));
    };
    const { client } = await startDaemons(
      [silent],
      [events(chunk('2', 'two'), DONE)],
    );
    assert.equal(await client.send(CHAT), 'one two');
  });

  it('sends a request to another daemon if the first never responds', async () => {
    const { client } = await startDaemons(
      [() => undefined],
      [events(chunk('1', 'one'), DONE)],
    );
    assert.equal(await client.send(CHAT), 'one');
  });

  it('leaves time for another daemon if a connection never delivers a byte', async () => {
    const silent = new ScriptedDaemon([() => undefined]);
    const healthy = new ScriptedDaemon([events(chunk('1', 'one'), DONE)]);
    daemons.push(silent, healthy);
    const addresses = [await silent.listen(), await healthy.listen()];
    const client = new CallerClient({
      addresses,
      token: 'token-1',
      silenceTimeoutMs: 100,
    });
    clients.push(client);
    const deadlineAtMs = Date.now() + 4_000;
    assert.equal(await client.send({ ...CHAT, deadlineAtMs }), 'one');
  });

  it('follows the redirect event at the end of a stream', async () => {
    const other = new ScriptedDaemon([events(chunk('2', 'two'), DONE)]);
    daemons.push(other);
    const url = `${await other.listen()}/v1/requests/request-1/events`;
    const moved = `event: moved\ndata: ${JSON.stringify({ url })}\n\n`;
    const { client } = await startDaemons([events(chunk('1', 'one '), moved)]);
    assert.equal(await client.send(CHAT), 'one two');
    assert.equal(other.received[0]?.lastEventId, '1');
  });

  it('follows a 303 response', async () => {
    const other = new ScriptedDaemon([events(chunk('1', 'one'), DONE)]);
    daemons.push(other);
    const location = `${await other.listen()}/v1/requests/request-1/events`;
    const { client } = await startDaemons([
      (_, response) => {
        response.writeHead(303, { location }).end();
      },
    ]);
    assert.equal(await client.send(CHAT), 'one');
  });

  it('resends the request with the received text if the stream is lost', async () => {
    const { client, started } = await startDaemons(
      [events(chunk('1', 'one ')), events(chunk('2', 'two'), DONE)],
      [problem('streamLost', 409, { outcome: 'unknown' })],
    );
    assert.equal(await client.send(CHAT), 'one two');
    const resent = started[0]?.received[1];
    assert.equal(resent?.line, 'POST /v1/chat/completions');
    assert.equal(resent.lastEventId, '1');
    assert.match(resent.body, /"received_text":"one "/);
  });

  it('uses another daemon if one is stopping', async () => {
    const retryAt = new Date(DEADLINE_AT_MS).toISOString();
    const { client } = await startDaemons(
      [problem('stopping', 503, { retryAt })],
      [events(chunk('1', 'one'), DONE)],
    );
    assert.equal(await client.send(CHAT), 'one');
  });

  it('throws ProblemError for a problem without a retry time', async () => {
    const { client } = await startDaemons([problem('noRule', 403)]);
    await assert.rejects(client.send(CHAT), ProblemError);
  });

  const posting = {
    service: 'ledger',
    path: '/postings',
    method: 'POST',
    deadlineAtMs: DEADLINE_AT_MS,
    body: '{}',
  } as const;
  const dropConnection: ResponseScript = (_, response) => {
    response.destroy();
  };
  const postedResponse: ResponseScript = (_, response) => {
    response.end('posted');
  };

  it('retries a call with an idempotency key', async () => {
    const { client } = await startDaemons([dropConnection], [postedResponse]);
    const sent = await client.call({ ...posting, idempotencyKey: 'key-1' });
    assert.equal(sent.body, 'posted');
  });

  it('sends a call without an idempotency key once', async () => {
    const { client, started } = await startDaemons(
      [dropConnection],
      [postedResponse],
    );
    await assert.rejects(client.call(posting), OutcomeUnknownError);
    assert.equal(started[1]?.received.length, 0);
  });
});
