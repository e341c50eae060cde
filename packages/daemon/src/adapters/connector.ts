import type { Socket } from 'node:net';

import { buildConnector } from 'undici';

import { overrideMethod } from './override-method.js';

/** Error of a connection that was reset. */
export class ConnectionResetError extends Error {
  override readonly name = 'ConnectionResetError';
}

/** Returns whether a connection that has ended was reset: only then it has no peer. */
export function wasReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

/**
 * Returns a connector for clients of undici. Where a connection ends, or fails
 * with ECONNRESET, undici completes a response that its connection delimits; it
 * asserts then that its parser is not paused, although a slow reader of the body
 * pauses it, and the failed assertion ends the process. The sockets of this
 * connector end only once their data are parsed, and fail with
 * `ConnectionResetError` instead.
 */
export function createConnector(
  options: buildConnector.BuildOptions,
): buildConnector.connector {
  const connect = buildConnector(options);
  return (target, callback) => {
    connect(target, (...result) => {
      const [error, socket] = result;
      if (error === null) {
        delayEnd(socket);
        replaceResetErrors(socket);
      }
      callback(...result);
    });
  };
}

/** Keeps the socket from ending while undici's parser is paused. */
function delayEnd(socket: Socket): void {
  let isPaused = false;
  // A parser that pauses returns what it has not parsed, also if that is nothing.
  overrideMethod(socket, 'unshift', unshift => (data, encoding) => {
    isPaused = true;
    unshift(data, encoding);
  });
  overrideMethod(socket, 'read', read => (size?: number) => {
    const { readableHighWaterMark, readableLength } = socket;
    // A read ends a socket that has no data left. Node.js reads by itself, and a resumed parser may pause again after its first read.
    const isEndDelayed = isPaused && readableLength === 0;
    if (size === undefined) isPaused = false;
    if (isEndDelayed) return null;
    // A read without a size ends the socket with its last data; a size above the mark raises the mark.
    const allData = Math.min(readableLength, readableHighWaterMark);
    const data: unknown = read(allData === 0 ? size : (size ?? allData));
    return data;
  });
}

function replaceResetErrors(socket: Socket): void {
  overrideMethod(
    socket,
    'destroy',
    destroy => (error?: NodeJS.ErrnoException) =>
      destroy(
        error?.code === 'ECONNRESET'
          ? new ConnectionResetError('The connection was reset.', {
              cause: error,
            })
          : error,
      ),
  );
}
