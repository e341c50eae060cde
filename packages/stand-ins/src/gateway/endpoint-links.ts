import type { Socket } from 'node:net';

import type { EndpointConnector } from '@skylarkreach/daemon';
import { createConnector } from '@skylarkreach/daemon';

/** State of the network links from one daemon to all endpoints. */
export enum LinkState {
  Intact = 'intact',
  /** Open connections carry no more bytes, and new ones are never accepted. */
  Silent = 'silent',
  /** Open connections are reset, and new ones are refused. */
  Reset = 'reset',
  /** Open connections work on, and new ones are refused. */
  RefusesNew = 'refusesNew',
}

const CONNECT_TIMEOUT_MS = 1_000;

/** Network links from one daemon to the endpoints, which can be cut. Cut connections stay cut. */
export class EndpointLinks {
  private state = LinkState.Intact;
  private readonly sockets = new Set<Socket>();
  private readonly connectDirectly = createConnector({
    timeout: CONNECT_TIMEOUT_MS,
  });

  setState(state: LinkState): void {
    this.state = state;
    for (const socket of this.sockets) {
      if (state === LinkState.Silent) silence(socket);
      if (state === LinkState.Reset) socket.destroy(networkError('ECONNRESET'));
    }
  }

  readonly connect: EndpointConnector = (options, callback) => {
    if (this.state === LinkState.Silent) {
      const error = networkError('UND_ERR_CONNECT_TIMEOUT');
      setTimeout(() => {
        callback(error, null);
      }, CONNECT_TIMEOUT_MS).unref();
      return;
    }
    if (this.state !== LinkState.Intact) {
      setImmediate(() => {
        callback(networkError('ECONNREFUSED'), null);
      });
      return;
    }
    this.connectDirectly(options, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        this.sockets.add(socket);
        socket.once('close', () => this.sockets.delete(socket));
      }
      callback(...result);
    });
  };
}

/** Drops what is written and hides what is received. */
function silence(socket: Socket): void {
  Object.assign(socket, { read: () => null, write: () => true });
}

function networkError(code: string): Error {
  return Object.assign(new Error(`The link fails with ${code}.`), { code });
}
