import type { Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import type { Address } from '@skylarkreach/core/ports';

/** State of a link; a link that holds bytes back delivers them once it is intact again. */
export enum LinkFault {
  None = 'none',
  Slow = 'slow',
  Silent = 'silent',
  /** Silent as in a partition: a connection that is opened meanwhile never carries anything. */
  Cut = 'cut',
  /** Bytes from the side that opened the connection are held back. */
  HoldsRequests = 'holdsRequests',
  HoldsResponses = 'holdsResponses',
}

const SLOW_MS = 150;
const HOLD_CHECK_INTERVAL_MS = 10;

/** TCP proxy on the loopback address, in front of one server, whose link can fail. */
export class LinkProxy {
  fault = LinkFault.None;
  /** Bytes that a fault holds back at present. */
  heldBytes = 0;
  private readonly sockets = new Set<Socket>();
  private readonly server = createServer({ allowHalfOpen: true }, socket => {
    this.join(socket);
  });

  private constructor(private readonly target: Address) {}

  /** Starts a proxy and returns it with its address. */
  static async start(
    target: Address,
  ): Promise<{ proxy: LinkProxy; address: Address }> {
    const proxy = new LinkProxy(target);
    const { server } = proxy;
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
    const bound = server.address();
    const port = typeof bound === 'object' ? bound?.port : undefined;
    return { proxy, address: `127.0.0.1:${port ?? 0}` };
  }

  resetConnections(): void {
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  destroy(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private join(near: Socket): void {
    if (this.fault === LinkFault.Cut) {
      this.sockets.add(near);
      near.on('error', () => undefined).resume();
      return;
    }
    const [host = '', port] = this.target.split(':');
    const far = connect({ host, port: Number(port), allowHalfOpen: true });
    this.pass(near, far, LinkFault.HoldsRequests);
    this.pass(far, near, LinkFault.HoldsResponses);
  }

  private pass(from: Socket, to: Socket, holding: LinkFault): void {
    let passed = Promise.resolve();
    const then = (step: () => void) => {
      passed = passed.then(() => this.whenPassable(holding)).then(step);
    };
    this.sockets.add(from);
    from.setNoDelay(true);
    from.on('data', (chunk: Buffer) => {
      this.heldBytes += chunk.length;
      then(() => {
        this.heldBytes -= chunk.length;
        to.write(chunk);
      });
    });
    from.on('end', () => {
      then(() => to.end());
    });
    from.on('error', () => undefined);
    from.on('close', hadError => {
      this.sockets.delete(from);
      if (hadError || !from.readableEnded) to.resetAndDestroy();
    });
  }

  private async whenPassable(holding: LinkFault): Promise<void> {
    if (this.fault === LinkFault.Slow) await delay(SLOW_MS);
    const holdingFaults = [LinkFault.Silent, LinkFault.Cut, holding];
    while (holdingFaults.includes(this.fault))
      await delay(HOLD_CHECK_INTERVAL_MS);
  }
}
