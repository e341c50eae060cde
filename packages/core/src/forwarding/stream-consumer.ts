import type { EndpointResponse } from './upstream.js';

/** How the body of a streamed response ended; the values are log texts. */
export enum StreamEnd {
  Complete = 'the stream is complete',
  WithinEvent = 'the stream ended within an event',
  WithoutEvent = 'the stream ended with its connection before its first event',
  /** The endpoint of a close-delimited body was gone when the body ended. */
  Unconfirmed = 'the stream ended with its connection, as its endpoint did',
}

/** Consumer of a streamed response. */
export interface StreamConsumer {
  /** Whether any part of the response was sent to the caller. */
  readonly hasStarted: boolean;
  /** Bytes of memory held for an incomplete event. */
  readonly bufferedBytes: number;
  begin(response: EndpointResponse): void;
  /** Adds bytes and returns the number of events that they complete and that the caller does not have. */
  add(chunk: Uint8Array): number;
  /** Forwards the events added. Returns a promise that resolves once the caller's connection accepts more; undefined if it does already. */
  flush(): Promise<void> | undefined;
  /** Ends the stream if its response is complete; `isEndConfirmed` is false where its endpoint may have crashed. */
  finish(isEndConfirmed: boolean): StreamEnd;
}
