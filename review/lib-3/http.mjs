/* global Buffer, clearTimeout, setTimeout */
// Raw HTTP/1.1 for stand-ins that have to control each byte.
import { connect, createServer } from 'node:net';

/** Reads messages from a byte stream: head, then a body by length, chunks, or to the end. */
export class MessageReader {
  buffer = Buffer.alloc(0);
  current = undefined;

  /** `onHead` returns { hasBody: false } to skip the body; `onBody(bytes)`, `onEnd()`. */
  constructor({
    isRequest,
    onHead,
    onBody = () => undefined,
    onEnd = () => undefined,
    onError = () => undefined,
  }) {
    Object.assign(this, { isRequest, onHead, onBody, onEnd, onError });
  }

  push(chunk) {
    this.buffer =
      this.buffer.length === 0 ? chunk : Buffer.concat([this.buffer, chunk]);
    try {
      while (this.step());
    } catch (error) {
      this.buffer = Buffer.alloc(0);
      this.onError(error);
    }
  }

  /** The connection has ended. */
  finish() {
    if (this.current?.mode === 'close') this.complete();
    else if (this.current !== undefined || this.buffer.length > 0)
      this.onError(new Error('cut'));
  }

  complete() {
    const head = this.current;
    this.current = undefined;
    this.onEnd(head);
  }

  step() {
    if (this.current === undefined) return this.stepHead();
    const { current } = this;
    if (current.mode === 'length' || current.mode === 'chunk') {
      const taken = this.buffer.subarray(0, current.left);
      if (taken.length > 0) this.onBody(taken, current);
      current.left -= taken.length;
      this.buffer = this.buffer.subarray(taken.length);
      if (current.left > 0) return false;
      if (current.mode === 'length') this.complete();
      else current.mode = 'chunkEnd';
      return true;
    }
    if (current.mode === 'close') {
      if (this.buffer.length > 0) this.onBody(this.buffer, current);
      this.buffer = Buffer.alloc(0);
      return false;
    }
    const end = this.buffer.indexOf('\r\n');
    if (end < 0) return false;
    const line = this.buffer.subarray(0, end).toString('latin1');
    this.buffer = this.buffer.subarray(end + 2);
    if (current.mode === 'chunkEnd') {
      if (line !== '') throw new Error('chunk');
      current.mode = 'chunkSize';
    } else if (current.mode === 'chunkSize') {
      if (!/^[0-9a-f]+/i.test(line)) throw new Error(`chunk size ${line}`);
      current.left = parseInt(line, 16);
      current.mode = current.left === 0 ? 'trailer' : 'chunk';
    } else if (line === '') this.complete();
    return true;
  }

  stepHead() {
    const end = this.buffer.indexOf('\r\n\r\n');
    if (end < 0) return false;
    const [first, ...lines] = this.buffer
      .subarray(0, end)
      .toString('latin1')
      .split('\r\n');
    this.buffer = this.buffer.subarray(end + 4);
    const raw = lines.map(line => {
      const at = line.indexOf(':');
      return [line.slice(0, at), line.slice(at + 1).trim()];
    });
    const headers = {};
    for (const [name, value] of raw) headers[name.toLowerCase()] ??= value;
    const head = { first, headers, raw };
    if (this.isRequest) {
      const [method, target] = first.split(' ');
      Object.assign(head, { method, target });
    } else {
      if (!/^HTTP\/1\.1 \d{3}/.test(first))
        throw new Error(`status line ${first.slice(0, 60)}`);
      head.status = Number(first.slice(9, 12));
    }
    const options = this.onHead(head) ?? {};
    this.current = head;
    const coded = headers['transfer-encoding'];
    if (options.hasBody === false) {
      head.mode = 'none';
      this.complete();
    } else if (coded !== undefined) head.mode = 'chunkSize';
    else if (headers['content-length'] !== undefined) {
      head.mode = 'length';
      head.left = Number(headers['content-length']);
    } else if (this.isRequest) {
      head.mode = 'length';
      head.left = 0;
    } else head.mode = 'close';
    return true;
  }
}

/** Serves raw connections. */
export function serveRaw(onConnection) {
  const sockets = new Set();
  const server = createServer(
    { noDelay: true, allowHalfOpen: false },
    socket => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
      socket.on('error', () => undefined);
      onConnection(socket);
    },
  );
  server.on('error', () => undefined);
  return {
    server,
    sockets,
    listen: (host, port = 0) =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, host, () =>
          resolve(`${host}:${server.address().port}`),
        );
      }),
    close: () => {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Sends one request on a channel; resolves with its answer, or how the channel ended. */
export function exchange({
  host,
  port,
  bytes,
  timeoutMs = 10_000,
  socket,
  method = 'GET',
  onSocket,
}) {
  return new Promise(resolve => {
    const channel = socket ?? connect({ host, port, noDelay: true });
    onSocket?.(channel);
    const result = {
      status: undefined,
      headers: {},
      body: [],
      end: 'open',
      bytesAfter: 0,
    };
    const finish = end => {
      if (result.end !== 'open') return;
      result.end = end;
      result.body = Buffer.concat(result.body);
      result.socket = channel;
      clearTimeout(timer);
      channel.removeAllListeners('data').removeAllListeners('close');
      if (end !== 'complete') channel.destroy();
      resolve(result);
    };
    const reader = new MessageReader({
      isRequest: false,
      onHead: head => {
        if (head.status < 200) return { hasBody: false };
        result.status = head.status;
        result.headers = head.headers;
        result.raw = head.raw;
        const isBodiless =
          method === 'HEAD' || head.status === 204 || head.status === 304;
        return isBodiless ? { hasBody: false } : {};
      },
      onBody: bytes_ => result.body.push(bytes_),
      onEnd: head => head.status >= 200 && finish('complete'),
      onError: error => finish(`broken: ${error.message}`),
    });
    const timer = setTimeout(() => finish('timeout'), timeoutMs);
    channel.on('error', () => undefined);
    channel.on('data', chunk => reader.push(chunk));
    channel.on('close', () => {
      reader.finish();
      finish('closed');
    });
    channel.write(bytes);
  });
}
