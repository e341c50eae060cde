import type { ServerResponse } from 'node:http';

import type { AnswerSink, RawHeaders } from '@skylarkreach/core/forwarding';

/** Writes an answer to a caller's connection. */
export class ResponseSink implements AnswerSink {
  /** `closes` tells whether the connection is to end with the answer. */
  constructor(
    private readonly response: ServerResponse,
    private readonly closes: () => boolean,
  ) {}

  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  begin(status: number, headers: RawHeaders, isFramed: boolean): void {
    const { response } = this;
    response.sendDate = false;
    response.useChunkedEncodingByDefault = isFramed;
    const isLast = this.closes() || !isFramed;
    const ending = isLast ? ['connection', 'close'] : [];
    response.writeHead(status, [...headers, ...ending]);
  }

  write(bytes: Uint8Array): Promise<void> {
    const { response } = this;
    if (response.destroyed || response.write(bytes)) return Promise.resolve();
    return new Promise(resolve => {
      const settle = () => {
        response.removeListener('drain', settle);
        response.removeListener('close', settle);
        resolve();
      };
      response.once('drain', settle);
      response.once('close', settle);
    });
  }

  end(): void {
    this.response.end();
  }

  destroy(): void {
    this.response.destroy();
  }
}
