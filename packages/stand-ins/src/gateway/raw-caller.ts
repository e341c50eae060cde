import { once } from 'node:events';
import type { Socket } from 'node:net';
import { connect } from 'node:net';

/** Connection of a caller that writes raw text, and what was received on it. */
export class RawCaller {
  /** Text received so far. */
  text = '';
  /** Code of the error that ended the connection. */
  errorCode: string | undefined;
  /** Whether the daemon has ended the connection. */
  isEnded = false;

  private constructor(private readonly socket: Socket) {
    socket.on('error', (error: NodeJS.ErrnoException) => {
      this.errorCode = error.code;
    });
    for (const event of ['end', 'close']) {
      socket.once(event, () => {
        this.isEnded = true;
      });
    }
    this.startReading();
  }

  static async open(address: string): Promise<RawCaller> {
    const [host = '', port] = address.split(':');
    // A caller that closes only when it wants to, as most do.
    const socket = connect({ port: Number(port), host, allowHalfOpen: true });
    await once(socket, 'connect');
    return new RawCaller(socket);
  }

  /** Number of responses with a status. */
  count(status: number): number {
    const head = new RegExp(`HTTP/1\\.1 ${status} `, 'g');
    return this.text.match(head)?.length ?? 0;
  }

  send(text: string): void {
    this.socket.write(text);
  }

  stopReading(): void {
    this.socket.removeAllListeners('data');
    this.socket.pause();
  }

  startReading(): void {
    this.socket.on('data', (chunk: Buffer) => {
      this.text += chunk.toString('latin1');
    });
    this.socket.resume();
  }

  /** Ends the writing side. */
  end(): void {
    this.socket.end();
  }

  destroy(): void {
    this.socket.destroy();
  }
}
