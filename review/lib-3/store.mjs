/* global Buffer, URL, clearInterval, clearTimeout, performance, setInterval, setTimeout */
// Stand-in for the platform's store, after PROTOCOL.md: keys, ranges, watches, transactions and leases, over HTTP.
import { createServer } from 'node:http';

const JSON_HEADERS = { 'content-type': 'application/json' };

/** Store with one revision counter. `intercept` may delay, withhold or refuse a call. */
export class Store {
  revision = 100;
  items = new Map();
  history = [];
  compactedAt = 100;
  leases = new Map();
  nextLease = 7;
  listeners = new Set();
  /** Called with { method, path, query, body, from, apply, response, socket } for each call; returns true where it has dealt with it. */
  intercept = () => false;
  calls = [];

  async listen(host, port = 0) {
    this.server = createServer((request, response) => {
      void this.serve(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
    this.sockets = new Set();
    this.server.on('connection', socket => {
      this.sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.sockets.delete(socket));
    });
    await new Promise(resolve => this.server.listen(port, host, resolve));
    this.timer = setInterval(() => this.expire(), 20);
    return `${host}:${this.server.address().port}`;
  }

  close() {
    clearInterval(this.timer);
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  get(key) {
    const item = this.items.get(key);
    return item && Buffer.from(item.Value, 'base64').toString();
  }

  put(key, value) {
    const text = typeof value === 'string' ? value : JSON.stringify(value);
    this.commit({
      Puts: [{ Key: key, Value: Buffer.from(text).toString('base64') }],
    });
  }

  delete(key) {
    this.commit({ Remove: [key] });
  }

  commit({ Expected = [], Puts = [], Remove = [] }) {
    const revisionOf = key => this.items.get(key)?.Revision ?? 0;
    if (Expected.some(each => revisionOf(each.Key) !== each.Revision)) {
      const Items = Expected.map(each => this.items.get(each.Key)).filter(
        Boolean,
      );
      return { status: 412, body: { Items } };
    }
    if (Puts.some(each => each.Lease && !this.leases.has(each.Lease)))
      return { status: 404 };
    this.revision += 1;
    for (const { Key, Value, Lease = 0 } of Puts) {
      const Created = this.items.get(Key)?.Created ?? this.revision;
      const item = { Key, Value, Revision: this.revision, Created, Lease };
      this.items.set(Key, item);
      this.history.push(item);
    }
    for (const Key of Remove)
      if (this.items.delete(Key))
        this.history.push({ Key, Revision: this.revision, Deleted: true });
    for (const listener of [...this.listeners]) listener();
    return { status: 200, body: { Revision: this.revision } };
  }

  compact() {
    this.history = [];
    this.compactedAt = this.revision;
  }

  endLease(id) {
    if (!this.leases.delete(id)) return;
    const keys = [...this.items.values()].filter(each => each.Lease === id);
    if (keys.length > 0) this.commit({ Remove: keys.map(each => each.Key) });
  }

  expire() {
    const nowMs = performance.now();
    for (const [id, { untilMs }] of this.leases)
      if (untilMs <= nowMs) this.endLease(id);
  }

  async serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const text = Buffer.concat(chunks).toString();
    const url = new URL(request.url, 'http://store');
    const call = {
      method: request.method,
      path: url.pathname,
      query: url.searchParams,
      body: text === '' ? undefined : JSON.parse(text),
      from: request.socket.remoteAddress,
      socket: request.socket,
      response,
      apply: () => this.apply(request.method, url, call.body),
      send: result => send(response, result),
    };
    if (await this.intercept(call)) return;
    send(response, await call.apply());
  }

  async apply(method, { pathname, searchParams: query }, body) {
    const [, , verb, id] = pathname.split('/');
    switch (`${method} ${verb}`) {
      case 'GET kv-key': {
        const item = this.items.get(query.get('Key'));
        return item
          ? { status: 200, body: { ...item, At: this.revision } }
          : { status: 404 };
      }
      case 'GET kv-range': {
        const prefix = query.get('PathPrefix') ?? '';
        const after = query.get('After') ?? '';
        const all = [...this.items.values()]
          .filter(each => each.Key.startsWith(prefix) && each.Key > after)
          .sort((a, b) => (a.Key < b.Key ? -1 : 1));
        const body = {
          Items: all.slice(0, 500),
          HasMore: all.length > 500,
          At: this.revision,
        };
        return { status: 200, body };
      }
      case 'GET kv-watch':
        return this.watch(query);
      case 'POST kv-txn':
        return this.commit(body);
      case 'POST kv-lease': {
        const Lease = this.nextLease++;
        const { TtlMs } = body;
        this.leases.set(Lease, {
          ttlMs: TtlMs,
          untilMs: performance.now() + TtlMs,
        });
        return { status: 200, body: { Lease, TtlMs } };
      }
      case 'POST kv-keep': {
        const lease = this.leases.get(Number(id));
        if (!lease) return { status: 404 };
        lease.untilMs = performance.now() + lease.ttlMs;
        return { status: 200, body: { TtlMs: lease.ttlMs } };
      }
      case 'DELETE kv-lease-end':
        this.endLease(Number(id));
        return { status: 200, body: {} };
      default:
        return { status: 404 };
    }
  }

  async watch(query) {
    const prefix = query.get('PathPrefix') ?? '';
    const after = Number(query.get('After'));
    const untilMs = performance.now() + Number(query.get('WaitMs') ?? 0);
    for (;;) {
      if (after < this.compactedAt || after > this.revision)
        return { status: 410 };
      const events = this.history.filter(
        each => each.Revision > after && each.Key.startsWith(prefix),
      );
      const leftMs = untilMs - performance.now();
      if (events.length > 0 || leftMs <= 0)
        return { status: 200, body: { events, At: this.revision } };
      await new Promise(resolve => {
        const done = () => {
          clearTimeout(timer);
          this.listeners.delete(done);
          resolve();
        };
        const timer = setTimeout(done, leftMs);
        this.listeners.add(done);
      });
    }
  }
}

function send(response, { status, body }) {
  if (response.destroyed) return;
  response.writeHead(status, JSON_HEADERS);
  response.end(body === undefined ? '' : JSON.stringify(body));
}
