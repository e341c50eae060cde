/* global setTimeout */
// Proxy in front of a server, which can be cut off: while it is, bytes are held up
// both ways, and new channels wait; afterwards all goes on, as after a partition.
import { connect, createServer } from 'node:net';

export class CutProxy {
  pairs = new Set();
  isCut = false;

  constructor(target) {
    const [host, port] = target.split(':');
    this.server = createServer(
      { pauseOnConnect: true, allowHalfOpen: true },
      near => {
        const far = connect({ port: Number(port), host, allowHalfOpen: true });
        const pair = [near, far];
        this.pairs.add(pair);
        for (const [from, to] of [
          [near, far],
          [far, near],
        ]) {
          from.on('data', chunk => to.write(chunk));
          from.on('end', () => to.end());
          from.on('error', () => to.destroy());
          from.on('close', () => this.pairs.delete(pair));
          if (this.isCut) from.pause();
          else from.resume();
        }
      },
    );
  }

  listen(host, port) {
    return new Promise(resolve => {
      this.server.listen(port, host, resolve);
    });
  }

  cut() {
    this.isCut = true;
    for (const pair of this.pairs) for (const socket of pair) socket.pause();
  }

  heal() {
    this.isCut = false;
    for (const pair of this.pairs) for (const socket of pair) socket.resume();
  }

  /** Delivers what the server sends on one of its channels later, as after a lost packet. */
  holdAnswers(remotePort, durationMs) {
    for (const [, far] of this.pairs) {
      if (far.localPort !== remotePort) continue;
      far.pause();
      setTimeout(() => {
        if (!this.isCut) far.resume();
      }, durationMs);
    }
  }

  close() {
    this.server.close();
    for (const pair of this.pairs) for (const socket of pair) socket.destroy();
  }
}
