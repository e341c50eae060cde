/* global Buffer */
// Stand-in for a worker: runs requests and answers with its signature. `answer`
// replaces how it answers.
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';

export class Worker {
  /** Requests that the worker began to run. */
  runs = [];
  rejected = [];

  constructor(id, service, { slots = 8, version = 'v1', answer } = {}) {
    Object.assign(this, { id, service, slots, version });
    this.answer =
      answer ??
      ((run, response) => response.end(`answer to ${run.id} by ${this.id}`));
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 60_000;
  }

  async listen(host, port) {
    this.address = `${host}:${port}`;
    await new Promise(resolve => {
      this.server.listen(port, host, resolve);
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** What the worker writes into the store. */
  entry(zone, sequence = 1, State = 'ready') {
    return {
      Service: this.service,
      Address: this.address,
      Zone: zone,
      Version: this.version,
      Slots: this.slots,
      State,
      ColdRemainingMs: 0,
      Sequence: sequence,
      born: 1_790_000_000_000,
    };
  }

  async serve(request, response) {
    const { headers } = request;
    const id = headers['request-id'];
    if (id !== undefined) response.setHeader('Request-Id', id);
    if (
      headers['expect-instance'] !== undefined &&
      headers['expect-instance'] !== this.id
    ) {
      response.writeHead(421).end();
      return;
    }
    if (request.method === 'GET' && request.url === '/health') {
      response.writeHead(200, { 'Instance-Id': this.id }).end();
      return;
    }
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const run = {
      id,
      method: request.method,
      path: request.url,
      headers,
      body: Buffer.concat(chunks).toString(),
      atMs: performance.now(),
    };
    this.runs.push(run);
    response.setHeader('Response-Signature', `${this.id}.${id}`);
    await this.answer(run, response, request);
  }
}
