/* global Buffer, URL, clearInterval, clearTimeout, setInterval, setTimeout */
// Stand-in for the platform's metadata store, as PROTOCOL.md describes it: keys,
// ranges, watches, transactions and leases, held in memory.
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as delay } from 'node:timers/promises';

/** Time that an answer takes: the sheet's 4 ms. */
const ANSWER_MS = 4;
const PAGE_ITEMS = 50;
const MAX_WATCH_MS = 30_000;

export class Store {
  revision = 10;
  items = new Map();
  history = [];
  /** Expiry by lease, by `performance.now()`. */
  leases = new Map();
  waiting = new Set();
  nextLease = 1;
  answerMs = ANSWER_MS;
  /** Called with each call before it is carried out; may wait. */
  onCall = () => undefined;
  /** Called with each call once it is carried out, before its answer is written on the socket. */
  beforeAnswer = () => undefined;

  constructor() {
    this.server = createServer((request, response) => {
      this.serve(request, response).catch(() => response.destroy());
    });
    this.timer = setInterval(() => {
      this.expire();
    }, 20);
  }

  listen(host, port) {
    return new Promise(resolve => {
      this.server.listen(port, host, resolve);
    });
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }

  /** Writes a key as the operator or a worker does. Returns the revision. */
  write(key, value) {
    this.apply({
      Puts: [
        {
          Key: key,
          Value: Buffer.from(JSON.stringify(value)).toString('base64'),
        },
      ],
    });
    return this.revision;
  }

  /** Returns the text of a key; undefined if there is none. */
  read(key) {
    const item = this.items.get(key);
    return item && Buffer.from(item.Value, 'base64').toString();
  }

  remove(key) {
    this.apply({ Remove: [key] });
  }

  apply({ Puts = [], Remove = [] }) {
    this.revision += 1;
    const Revision = this.revision;
    for (const { Key, Value, Lease = 0 } of Puts) {
      const Created = this.items.get(Key)?.Created ?? Revision;
      const item = { Key, Value, Revision, Created, Lease };
      this.items.set(Key, item);
      this.history.push(item);
    }
    for (const Key of Remove) {
      if (this.items.delete(Key))
        this.history.push({ Key, Revision, Deleted: true });
    }
    for (const wake of [...this.waiting]) wake();
  }

  expire() {
    for (const [lease, { untilMs }] of this.leases) {
      if (untilMs <= performance.now()) this.endLease(lease);
    }
  }

  endLease(lease) {
    if (!this.leases.delete(lease)) return;
    const Remove = [...this.items.values()]
      .filter(item => item.Lease === lease)
      .map(item => item.Key);
    if (Remove.length > 0) this.apply({ Remove });
  }

  async serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? {} : JSON.parse(text);
    const url = new URL(request.url, 'http://store');
    await this.onCall(request.method, url, body);
    const [status, answer] = await this.carryOut(
      request.method,
      url,
      body,
      request.socket,
    );
    await delay(this.answerMs);
    await this.beforeAnswer(url, status, request.socket);
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(answer === undefined ? '' : JSON.stringify(answer));
  }

  carryOut(method, { pathname, searchParams }, body, socket) {
    const [, , call, id] = pathname.split('/');
    const prefix = searchParams.get('PathPrefix') ?? '';
    if (call === 'kv-key') {
      const item = this.items.get(searchParams.get('Key'));
      return item === undefined ? [404] : [200, { ...item, At: this.revision }];
    }
    if (call === 'kv-range') {
      const after = searchParams.get('After') ?? '';
      const found = [...this.items.values()]
        .filter(({ Key }) => Key.startsWith(prefix) && Key > after)
        .sort((left, right) => (left.Key < right.Key ? -1 : 1));
      const Items = found.slice(0, PAGE_ITEMS);
      return [
        200,
        { Items, HasMore: found.length > PAGE_ITEMS, At: this.revision },
      ];
    }
    if (call === 'kv-watch') return this.watch(prefix, searchParams, socket);
    if (call === 'kv-txn') {
      const expected = body.Expected ?? [];
      const isMet = expected.every(
        ({ Key, Revision }) =>
          (this.items.get(Key)?.Revision ?? 0) === Revision,
      );
      if (!isMet)
        return [
          412,
          { Items: expected.flatMap(({ Key }) => this.items.get(Key) ?? []) },
        ];
      const isLeaseMissing = (body.Puts ?? []).some(
        ({ Lease = 0 }) => Lease !== 0 && !this.leases.has(Lease),
      );
      if (isLeaseMissing) return [404];
      this.apply(body);
      return [200, { Revision: this.revision }];
    }
    if (call === 'kv-lease') {
      const Lease = this.nextLease++;
      const { TtlMs } = body;
      this.leases.set(Lease, {
        ttlMs: TtlMs,
        untilMs: performance.now() + TtlMs,
      });
      return [200, { Lease, TtlMs }];
    }
    const lease = this.leases.get(Number(id));
    if (call === 'kv-keep') {
      if (lease === undefined) return [404];
      lease.untilMs = performance.now() + lease.ttlMs;
      return [200, { TtlMs: lease.ttlMs }];
    }
    if (method === 'DELETE' && call === 'kv-lease-end') {
      this.endLease(Number(id));
      return [200, {}];
    }
    return [404];
  }

  /** Answers as soon as at least one event exists. */
  async watch(prefix, searchParams, socket) {
    const after = Number(searchParams.get('After'));
    const waitMs = Math.min(MAX_WATCH_MS, Number(searchParams.get('WaitMs')));
    const untilMs = performance.now() + waitMs;
    for (;;) {
      const events = this.history.filter(
        event => event.Revision > after && event.Key.startsWith(prefix),
      );
      const leftMs = untilMs - performance.now();
      if (events.length > 0 || leftMs <= 0 || socket.destroyed)
        return [200, { events, At: this.revision }];
      await new Promise(resolve => {
        const wake = () => {
          clearTimeout(timer);
          this.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, leftMs);
        this.waiting.add(wake);
      });
    }
  }
}
