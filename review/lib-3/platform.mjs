/* global Buffer, clearInterval, performance, setInterval, setTimeout */
// Stand-ins for the platform's API and for workers that it starts and stops as ordered.
import { createServer } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

import { MessageReader, serveRaw } from './http.mjs';

/** Platform API: records each duty call as it arrives. */
export class Cloud {
  calls = [];
  onCall = () => undefined;

  async listen(host) {
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', chunk => chunks.push(chunk));
      request.on('error', () => undefined);
      request.on('end', () => {
        const call = {
          atMs: performance.now(),
          path: request.url,
          holder: request.headers['lease-holder'],
          generation: Number(request.headers['fencing-token']),
          body: JSON.parse(Buffer.concat(chunks).toString()),
        };
        this.calls.push(call);
        this.onCall(call);
        response.writeHead(200, { 'content-type': 'application/json' });
        response.end('{}');
      });
    });
    this.server.keepAliveTimeout = 60_000;
    this.server.on('clientError', (_, socket) => socket.destroy());
    await new Promise(resolve => this.server.listen(0, host, resolve));
    return `${host}:${this.server.address().port}`;
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** Sound worker: runs each request once, and records its runs. */
export class Worker {
  runs = [];
  arrivals = 0;
  state = 'ready';
  sequence = 0;
  bornAtMs = Date.now();

  constructor(id, fields = {}) {
    this.id = id;
    this.fields = fields;
    /** Returns the answer to a run: { delayMs, status, text, events }. */
    this.answer =
      fields.answer ?? (() => ({ delayMs: 5, text: `answer of ${id}` }));
    this.raw = serveRaw(socket => this.onSocket(socket));
  }

  async listen(host) {
    this.address = await this.raw.listen(host);
    return this.address;
  }

  /** Entry that the worker writes about itself. */
  entry() {
    this.sequence += 1;
    return {
      Service: this.fields.service,
      Address: this.address,
      Zone: this.fields.zone,
      Version: '1',
      Slots: 48,
      State: this.state,
      ColdRemainingMs: 0,
      Sequence: this.sequence,
      Spot: this.fields.isSpot === true,
      born: this.bornAtMs,
    };
  }

  onSocket(socket) {
    let body = [];
    const reader = new MessageReader({
      isRequest: true,
      onHead: () => {
        body = [];
      },
      onBody: bytes => body.push(Buffer.from(bytes)),
      onEnd: head => void this.serve(socket, head, Buffer.concat(body)),
      onError: () => socket.destroy(),
    });
    socket.on('data', chunk => reader.push(chunk));
  }

  async serve(socket, head, body) {
    this.arrivals += 1;
    const id = head.headers['request-id'];
    const write = text => socket.destroyed || socket.write(text);
    if (head.headers['expect-instance'] !== this.id) {
      write(
        `HTTP/1.1 421 Misdirected\r\nRequest-Id: ${id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n`,
      );
      return;
    }
    const run = {
      id,
      worker: this.id,
      target: head.target,
      method: head.method,
      headers: head.headers,
      body,
      atMs: performance.now(),
    };
    this.runs.push(run);
    const answer = this.answer(head, run);
    if (answer === undefined) return;
    await delay(answer.delayMs ?? 0);
    const base = `Request-Id: ${id}\r\nResponse-Signature: sig-${this.id}-${this.runs.length}\r\nServer-Load: 1,0,48\r\n`;
    if (answer.events !== undefined) {
      write(
        `HTTP/1.1 200 OK\r\n${base}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n`,
      );
      for (
        let number = Number(head.headers['last-event-id'] ?? 0) + 1;
        number <= answer.events;
        number += 1
      ) {
        const event = `id: ${number}\ndata: ${id} ${number}\n\n`;
        write(`${event.length.toString(16)}\r\n${event}\r\n`);
        await delay(answer.gapMs ?? 10);
      }
      write('0\r\n\r\n');
      return;
    }
    write(
      `HTTP/1.1 ${answer.status ?? 200} OK\r\n${base}Content-Length: ${answer.text.length}\r\n\r\n${answer.text}`,
    );
  }

  close() {
    this.raw.close();
  }
}

/** Starts and stops the workers of a service as the platform does on orders, and lists them in the store. */
export class Fleet {
  workers = new Map();
  desired = new Map();
  count = 0;

  constructor({ store, host, service, bootMs, answer }) {
    Object.assign(this, { store, host, service, bootMs, answer });
    this.beats = setInterval(() => this.beat(), 1_200);
  }

  async add(zone, isSpot) {
    this.count += 1;
    const id = `${this.service}-${this.count}`;
    const worker = new Worker(id, {
      service: this.service,
      zone,
      isSpot,
      answer: this.answer,
    });
    await worker.listen(this.host);
    this.workers.set(id, worker);
    this.list(worker);
    return worker;
  }

  list(worker) {
    this.store.put(`servers/${worker.id}`, worker.entry());
  }

  beat() {
    for (const worker of this.workers.values()) this.list(worker);
  }

  /** Carries an order out. */
  async order({ Service, Zone, DesiredCount, Spot }) {
    if (Service !== this.service) return;
    const isSpot = Spot === true;
    const mine = () =>
      [...this.workers.values()].filter(
        each =>
          each.fields.zone === Zone &&
          each.fields.isSpot === isSpot &&
          each.state === 'ready',
      );
    const key = `${Zone} ${isSpot}`;
    const starting = this.desired.get(key) ?? 0;
    const missing = DesiredCount - mine().length - starting;
    if (missing > 0) {
      this.desired.set(key, starting + missing);
      await delay(this.bootMs);
      for (let n = 0; n < missing; n += 1) await this.add(Zone, isSpot);
      this.desired.set(key, (this.desired.get(key) ?? 0) - missing);
      return;
    }
    for (const worker of mine().slice(0, Math.max(0, -missing))) {
      worker.state = 'draining';
      this.list(worker);
      setTimeout(() => {
        this.workers.delete(worker.id);
        this.store.delete(`servers/${worker.id}`);
        worker.close();
      }, 4_000);
    }
  }

  close() {
    clearInterval(this.beats);
    for (const worker of this.workers.values()) worker.close();
  }
}
