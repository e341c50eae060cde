/* global performance */
// Clients that send postings to the daemons in turn at an even rate.
import { Agent, request as httpRequest } from 'node:http';
import { setTimeout as delay } from 'node:timers/promises';

const agent = new Agent({ keepAlive: true });
const STEP_MS = 5;

/** Sends a posting as a client does, and resolves with its status. */
function post({ callers }, requestId) {
  const [host, port] = callers.split(':');
  const body = 'ruling to post';
  return new Promise(resolve => {
    const request = httpRequest(
      {
        host,
        port,
        agent,
        method: 'POST',
        path: '/posting/1',
        headers: {
          host: 'sample.example',
          'request-id': requestId,
          'deadline-ms': '1500',
          key: 'key-of-hule930',
          'content-length': String(body.length),
        },
      },
      response => {
        response.resume();
        response.on('error', () => undefined);
        response.on('close', () => resolve(String(response.statusCode)));
      },
    );
    request.on('error', error => resolve(error.code));
    request.end(body);
  });
}

/** Sends postings until the time. Resolves with when each was sent, once all are answered, and counts their statuses. */
export async function sendPostings(daemons, perSecond, untilMs, statuses) {
  const sentAtMs = new Map();
  const answered = [];
  const startedAtMs = performance.now();
  while (performance.now() < untilMs) {
    const dueCount = ((performance.now() - startedAtMs) * perSecond) / 1_000;
    while (sentAtMs.size < dueCount) {
      const requestId = `posting-${sentAtMs.size}`;
      const { machine } = daemons[sentAtMs.size % daemons.length];
      sentAtMs.set(requestId, performance.now());
      answered.push(
        post(machine, requestId).then(status =>
          statuses.set(status, (statuses.get(status) ?? 0) + 1),
        ),
      );
    }
    await delay(STEP_MS);
  }
  await Promise.all(answered);
  agent.destroy();
  return sentAtMs;
}
