import { EventSplitter } from './event-splitter.js';
import type { RawHeaders } from './forward-request.js';
import type { StreamConsumer } from './stream-consumer.js';
import { StreamEnd } from './stream-consumer.js';
import type { EndpointResponse, ResponseWriter } from './upstream.js';

interface ResponseHead {
  readonly status: number;
  readonly headers: RawHeaders;
}

/**
 * Forwards the complete events of one or more attempts of a request to its
 * caller as one stream, each event once and in order, with the status and
 * headers of the first attempt.
 */
export class StreamRelay implements StreamConsumer {
  /** Id of the last event forwarded, or of the last one that the caller already had. */
  lastEventId: string | undefined;
  /** Number of events in the response of the current attempt. */
  attemptEvents = 0;
  /** Whether the response of the current attempt has a length or chunks. */
  isAttemptFramed = true;
  private splitter = new EventSplitter();
  private responseHead: ResponseHead | undefined;
  private isResponseStarted = false;
  /** Complete events that are not forwarded yet. */
  private unsent: Uint8Array[] = [];

  /** `onFirstEvent` is called once, when the response to the caller starts. */
  constructor(
    private readonly sink: ResponseWriter,
    private readonly filterHeaders: (headers: RawHeaders) => RawHeaders,
    lastEventId: string | undefined,
    private readonly onFirstEvent: () => void,
  ) {
    this.lastEventId = lastEventId;
  }

  get hasStarted(): boolean {
    return this.isResponseStarted;
  }

  get bufferedBytes(): number {
    return this.splitter.bufferedBytes;
  }

  begin({ headers, isFramed, status }: EndpointResponse): void {
    this.splitter = new EventSplitter();
    this.attemptEvents = 0;
    this.isAttemptFramed = isFramed;
    if (this.isResponseStarted) return;
    this.responseHead = { status, headers: this.filterHeaders(headers) };
  }

  add(chunk: Uint8Array): number {
    for (const { bytes, id } of this.splitter.push(chunk)) {
      this.attemptEvents += 1;
      if (!this.isNew(id)) continue;
      this.lastEventId = id ?? this.lastEventId;
      this.unsent.push(bytes);
    }
    return this.unsent.length;
  }

  flush(): Promise<void> | undefined {
    const events = this.unsent;
    const [firstEvent] = events;
    if (firstEvent === undefined) return undefined;
    this.unsent = [];
    this.startResponse();
    return this.sink.write(
      events.length === 1 ? firstEvent : Buffer.concat(events),
    );
  }

  finish(isEndConfirmed: boolean): StreamEnd {
    if (this.splitter.hasPartialEvent) return StreamEnd.WithinEvent;
    // An endpoint that crashes may close its connection in order.
    if (!this.isAttemptFramed && this.attemptEvents === 0)
      return StreamEnd.WithoutEvent;
    if (!isEndConfirmed) return StreamEnd.Unconfirmed;
    this.startResponse();
    this.sink.end();
    return StreamEnd.Complete;
  }

  private startResponse(): void {
    if (this.isResponseStarted || this.responseHead === undefined) return;
    this.isResponseStarted = true;
    const { headers, status } = this.responseHead;
    this.sink.begin(status, headers);
    this.onFirstEvent();
  }

  /** Returns false for events sent before: a later attempt may start before the requested event. */
  private isNew(id: string | undefined): boolean {
    if (id === undefined || this.lastEventId === undefined) return true;
    return Number(id) > Number(this.lastEventId);
  }
}
