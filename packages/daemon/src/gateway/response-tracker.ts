import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

import { daemonStoppingError } from '@skylarkreach/core/forwarding';

import { abortResponse } from './response-sink.js';

/** Responses in progress on the connections of callers, with what ends their requests. */
export class ResponseTracker {
  private readonly responsesBySocket = new Map<
    Duplex,
    Map<ServerResponse, AbortController>
  >();
  private isDraining = false;
  private onIdle: (() => void) | undefined;

  /** Number of responses in progress. */
  count = 0;

  /** From now on, closes each connection after its last response. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Resolves once no response is in progress. */
  whenIdle(): Promise<void> {
    if (this.count === 0) return Promise.resolve();
    return new Promise(resolve => {
      this.onIdle = resolve;
    });
  }

  /** Returns the responses in progress on a connection. */
  of(socket: Duplex): readonly ServerResponse[] {
    return [...(this.responsesBySocket.get(socket)?.keys() ?? [])];
  }

  /**
   * Tracks a response until it closes. Returns a signal that is aborted if the
   * caller disconnects first or the request has to end.
   */
  track(socket: Duplex, response: ServerResponse): AbortSignal {
    const abort = new AbortController();
    const responses =
      this.responsesBySocket.get(socket) ??
      new Map<ServerResponse, AbortController>();
    this.responsesBySocket.set(socket, responses.set(response, abort));
    this.count += 1;
    response.once('close', () => {
      if (!response.writableFinished) abort.abort();
      responses.delete(response);
      if (responses.size === 0) {
        this.responsesBySocket.delete(socket);
        if (this.isDraining) socket.end();
      }
      this.count -= 1;
      if (this.count === 0) this.onIdle?.();
    });
    return abort.signal;
  }

  /** Ends all requests in progress: those without a response get an error. */
  endAll(): void {
    for (const responses of this.responsesBySocket.values()) {
      for (const abort of responses.values())
        abort.abort(daemonStoppingError());
    }
  }

  /** Aborts all responses. */
  destroyAll(): void {
    for (const responses of this.responsesBySocket.values()) {
      for (const response of responses.keys()) abortResponse(response);
    }
  }
}
