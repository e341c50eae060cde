import type { Socket } from 'node:net';

import type { buildConnector, Dispatcher } from 'undici';
import { Client } from 'undici';

import { wasReset } from './connector.js';
import { overrideMethod } from './override-method.js';

const MIN_FINAL_STATUS = 200;

/** Error of a request that was not written, as it no longer may be. */
export class RequestWithheldError extends Error {
  override readonly name = 'RequestWithheldError';
}

/** Condition of a request. */
export interface WriteCondition {
  /** Asked right before the request is written. */
  readonly mayWrite: () => boolean;
  /** Whether it does no harm if the request arrives after it was given up. */
  readonly mayArriveLate?: boolean;
}

/** Handler of a request as undici's `request` creates it for each call. */
export interface RequestHandler {
  /** Called right before the request is written; if it throws, the request fails with the error and nothing is written. */
  onConnect?(abort: () => void, ...rest: unknown[]): void;
  onHeaders?(
    status: number,
    rawHeaders: Buffer[],
    resume: () => void,
    statusText: string,
  ): boolean;
  /** Returns false if the parser is to pause. */
  onData?(chunk: Buffer): boolean;
  onComplete?(trailers: string[] | null): void;
  onError?(error: Error): void;
}

/** Tells whether a connection awaits the response to a request, and resets it if it is destroyed then. */
class AwaitedResponse {
  private isAwaited = false;

  /** Watches the next connection of the client. */
  attach(socket: Socket): void {
    this.isAwaited = false;
    let resetCause: { readonly error: Error | undefined } | undefined;
    overrideMethod(socket, 'destroy', destroy => error => {
      if (resetCause === undefined && this.isAwaited && canReset(socket)) {
        resetCause = { error };
        socket.resetAndDestroy(); // destroys the socket without an error
      }
      return destroy(resetCause === undefined ? error : resetCause.error);
    });
  }

  recordRequest(): void {
    this.isAwaited = true;
  }

  recordResponse(): void {
    this.isAwaited = false;
  }
}

/** Returns whether a socket is open in both directions. */
function canReset(socket: Socket): boolean {
  const isOpen = !socket.destroyed && !socket.readableEnded;
  return isOpen && !socket.writableEnded && !wasReset(socket);
}

/**
 * HTTP client with one connection. A request that is given up before its response
 * begins resets the connection, which makes the operating system drop what it has
 * not delivered: after an orderly close it goes on to send it, and a request that
 * a partition has held up arrives long after its caller has acted on its failure.
 */
export class RevocableClient extends Client {
  constructor(
    origin: string | URL,
    options: Client.Options,
    connect: buildConnector.connector,
    /** Conditions by the options of the request. */
    private readonly conditions: WeakMap<object, WriteCondition>,
    private readonly awaitedResponse = new AwaitedResponse(),
  ) {
    super(origin, {
      ...options,
      connect: (target, callback) => {
        connect(target, (...result) => {
          const [error, socket] = result;
          if (error === null) awaitedResponse.attach(socket);
          callback(...result);
        });
      },
    });
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    const condition = this.conditions.get(options);
    const { awaitedResponse } = this;
    const requestHandler: RequestHandler = handler;
    const onConnect = requestHandler.onConnect?.bind(handler);
    requestHandler.onConnect = (...args) => {
      if (condition?.mayWrite() === false)
        throw new RequestWithheldError('The request may no longer be written.');
      if (condition?.mayArriveLate !== true) awaitedResponse.recordRequest();
      onConnect?.(...args);
    };
    const onHeaders = requestHandler.onHeaders?.bind(handler);
    requestHandler.onHeaders = (status, ...rest) => {
      if (status >= MIN_FINAL_STATUS) awaitedResponse.recordResponse();
      return onHeaders?.(status, ...rest) ?? true;
    };
    return super.dispatch(options, handler);
  }
}
