import { once } from 'node:events';
import type { Socket } from 'node:net';
import { connect } from 'node:net';

/** Pieces that one caller writes, in order. */
export type CallerScript = (index: number) => Iterable<string | Buffer>;

/** Crowd of callers that ignore the limits: each writes its pieces and keeps its connection open. */
export class CallerCrowd {
  private readonly sockets: Socket[] = [];

  constructor(private readonly address: string) {}

  /** Resolves once each caller has sent its pieces or has lost its connection. */
  async send(count: number, script: CallerScript): Promise<void> {
    await Promise.all(
      Array.from({ length: count }, (_, index) => this.sendOne(script(index))),
    );
  }

  destroy(): void {
    for (const socket of this.sockets.splice(0)) socket.destroy();
  }

  private async sendOne(pieces: Iterable<string | Buffer>): Promise<void> {
    const [host = '', port] = this.address.split(':');
    const socket = connect({ host, port: Number(port), allowHalfOpen: true });
    this.sockets.push(socket);
    // A refusal and a reset are both allowed.
    socket.on('error', () => undefined);
    socket.resume();
    const ended = Promise.race([once(socket, 'end'), once(socket, 'close')]);
    const isEnded = ended.then(
      () => true,
      () => true,
    );
    await Promise.race([once(socket, 'connect'), isEnded]).catch(() => true);
    for (const piece of pieces) {
      if (socket.destroyed || socket.readableEnded) return;
      if (socket.write(piece)) continue;
      const drained = once(socket, 'drain').then(
        () => false,
        () => true,
      );
      if (await Promise.race([drained, isEnded])) return;
    }
  }
}
