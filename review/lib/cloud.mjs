/* global Buffer */
// Stand-in for the platform's API for the duties of one daemon at a time. It accepts
// every call and checks no fence, as `RequireFencing` is false.
import { createServer } from 'node:http';
import { performance } from 'node:perf_hooks';

export class Cloud {
  /** Calls in order of arrival. */
  calls = [];
  onCall = () => undefined;

  constructor() {
    this.server = createServer((request, response) => {
      const chunks = [];
      request.on('data', chunk => chunks.push(chunk));
      request.on('end', () => {
        const body = JSON.parse(Buffer.concat(chunks).toString());
        const call = {
          atMs: performance.now(),
          path: request.url,
          holder: request.headers['lease-holder'],
          number: Number(request.headers['fencing-token']),
          from: request.socket.remoteAddress,
          body,
        };
        this.calls.push(call);
        this.onCall(call);
        response.writeHead(200).end();
      });
    });
  }

  listen(host, port) {
    return new Promise(resolve => {
      this.server.listen(port, host, resolve);
    });
  }

  close() {
    this.server.close();
    this.server.closeAllConnections();
  }
}
