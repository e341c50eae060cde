/* global console, performance */
// Worker of a plain service: runs each request once, and tells on its standard output what it runs.
// Its answers bear their length, or end with their channel if `isUnframed` is set. It fails a share of the requests.
import { createHash } from 'node:crypto';
import { createServer } from 'node:http';
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';

const options = JSON.parse(process.argv[2]);
const { failShare = 0, id, isUnframed = false, port, workMs = 20 } = options;
/** Requests in the last second from which the worker fails its share of them; it always does if this is 0. */
const { failsFromPerS = 0 } = options;
const SECOND_MS = 1_000;
let recentAtMs = [];

/** Whether the worker has the load under which it fails requests. */
function isLoaded() {
  const nowMs = performance.now();
  recentAtMs = recentAtMs.filter(atMs => nowMs - atMs < SECOND_MS);
  recentAtMs.push(nowMs);
  return recentAtMs.length >= failsFromPerS;
}

/** Returns the whole body of the answer to a request. */
function bodyOf(requestId) {
  return Array.from(
    { length: 20 },
    (_, index) => `entry ${index + 1} of ${requestId}\n`,
  ).join('');
}

const server = createServer(async (request, response) => {
  const { headers, method, url } = request;
  const requestId = headers['request-id'] ?? '';
  const body = [];
  for await (const chunk of request) body.push(chunk);
  if (headers['expect-instance'] !== id) {
    response.writeHead(421, {
      'request-id': requestId,
      'not-executed': '1',
      'content-length': '0',
    });
    response.end();
    return;
  }
  console.log(`runs ${method} ${url} ${requestId}`);
  if (isLoaded() && Math.random() < failShare) {
    console.log(`fails ${requestId}`);
    response.writeHead(500, {
      'request-id': requestId,
      'response-signature': 'failure',
      'content-length': '0',
    });
    response.end();
    return;
  }
  const answer = bodyOf(requestId);
  const digest = createHash('sha256').update(answer).digest('hex').slice(0, 8);
  const half = answer.slice(0, answer.length / 2);
  const head = {
    'request-id': requestId,
    'response-signature': `${answer.length}.${digest}`,
    'content-type': 'text/plain',
    'server-load': '1,0,6',
  };
  if (isUnframed) {
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.removeHeader('content-length');
  } else {
    head['content-length'] = String(answer.length);
  }
  response.writeHead(200, head);
  response.write(half);
  console.log(`has written the first half of the answer to ${requestId}`);
  await delay(workMs);
  response.end(answer.slice(answer.length / 2));
  console.log(`has written the whole answer to ${requestId}`);
});
server.keepAliveTimeout = 10_000;
server.listen(port, '127.0.0.1');
