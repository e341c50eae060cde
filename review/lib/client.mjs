/* global Buffer, clearTimeout, setTimeout */
// Client: one request on a new channel of its own, read until the answer is complete or the channel ends.
import { request as httpRequest } from 'node:http';
import { performance } from 'node:perf_hooks';

/** Resolves with the answer; `status` is 0 where the channel ended without one. Never rejects. */
export function send({
  address,
  host,
  path,
  id,
  method = 'GET',
  body,
  deadlineMs,
  headers = {},
  key,
}) {
  const [hostname, port] = address.split(':');
  const sentAtMs = performance.now();
  return new Promise(resolve => {
    const end = result => {
      resolve({ id, path, sentAtMs, endedAtMs: performance.now(), ...result });
    };
    const request = httpRequest(
      {
        hostname,
        port,
        method,
        path,
        agent: false,
        headers: {
          Host: host,
          'Request-Id': id,
          'Deadline-Ms': String(deadlineMs),
          ...(key && { Key: key }),
          ...(body !== undefined && {
            'Content-Length': Buffer.byteLength(body),
          }),
          ...headers,
        },
      },
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', () => undefined);
        response.on('close', () => {
          end({
            status: response.statusCode,
            headers: response.headers,
            isComplete: response.complete,
            body: Buffer.concat(chunks).toString(),
          });
        });
      },
    );
    request.on('error', error => {
      end({
        status: 0,
        error: String(error.code ?? error.message),
        isComplete: false,
        body: '',
      });
    });
    const timer = setTimeout(
      () => request.destroy(new Error('deadline')),
      deadlineMs + 500,
    );
    request.on('close', () => {
      clearTimeout(timer);
    });
    request.end(body);
  });
}
