// Proxy for the channels to one worker, or of one machine to the store. While it is cut, it holds all bytes and ends in both directions, and opens nothing.
import { connect, createServer } from 'node:net';

export class Link {
  /** `onBytes` is called with what is sent towards the target. */
  constructor(targetPort, onBytes = () => undefined) {
    this.onBytes = onBytes;
    this.targetPort = targetPort;
    this.isCut = false;
    this.sockets = new Set();
    this.silenced = new Set();
    /** Channels that were opened during the cut. */
    this.waiting = [];
    this.server = createServer({ allowHalfOpen: true }, near => {
      if (this.isCut) this.waiting.push(near);
      else this.open(near);
    });
  }

  async listen(host = '127.0.0.1') {
    await new Promise(resolve => this.server.listen(0, host, resolve));
    const { address, port } = this.server.address();
    return `${address}:${port}`;
  }

  cut() {
    this.isCut = true;
    for (const socket of this.sockets) socket.pause();
  }

  /** Silences the open channels for good; new ones work. */
  silence() {
    for (const socket of this.sockets) {
      socket.pause();
      this.silenced.add(socket);
    }
  }

  heal() {
    this.isCut = false;
    for (const socket of this.sockets)
      if (!this.silenced.has(socket)) socket.resume();
    for (const near of this.waiting.splice(0)) this.open(near);
  }

  destroy() {
    this.server.close();
    for (const socket of [...this.sockets, ...this.waiting]) socket.destroy();
  }

  open(near) {
    const far = connect({
      port: this.targetPort,
      host: '127.0.0.1',
      allowHalfOpen: true,
    });
    near.on('data', this.onBytes);
    this.join(near, far);
    this.join(far, near);
  }

  /** Passes on what one socket receives, its end and its reset. */
  join(from, to) {
    this.sockets.add(from);
    from.on('data', chunk => to.write(chunk));
    from.on('end', () => to.end());
    from.on('error', () => to.resetAndDestroy());
    from.on('close', () => this.sockets.delete(from));
    if (this.isCut) from.pause();
  }
}
