/** Complete event of a `text/event-stream`, with its bytes as received. */
export interface CompleteEvent {
  readonly bytes: Uint8Array;
  /** Value of the event's `id` field, if it has one. */
  readonly id: string | undefined;
}

/** Maximum size of an incomplete event that is buffered. */
const MAX_EVENT_BYTES = 1_048_576; // bounds the memory of one stream

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** Thrown when an incomplete event exceeds the buffer limit. */
export class EventTooLargeError extends Error {
  override readonly name = 'EventTooLargeError';
}

/**
 * Splits a `text/event-stream` into events after each blank line, leaving the
 * bytes unchanged. A parser that returns only fields would lose the original
 * bytes, which callers verify against a digest.
 */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /** Adds bytes and returns the events that they complete. Throws `EventTooLargeError`. */
  push(chunk: Uint8Array): readonly CompleteEvent[] {
    const data =
      this.pending.length === 0
        ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength)
        : Buffer.concat([this.pending, chunk]);
    const events: CompleteEvent[] = [];
    let start = 0;
    let end = findEventEnd(data, start);
    while (end > 0) {
      const bytes = data.subarray(start, end);
      events.push({ bytes, id: readEventId(bytes) });
      start = end;
      end = findEventEnd(data, start);
    }
    this.pending = data.subarray(start);
    if (this.pending.length > MAX_EVENT_BYTES) {
      throw new EventTooLargeError(
        `A stream event exceeds ${MAX_EVENT_BYTES} bytes; send smaller events.`,
      );
    }
    return events;
  }
}

/** Returns the offset after the blank line that ends the event at `start`, or 0 if the event is incomplete. */
function findEventEnd(data: Buffer, start: number): number {
  let lineStart = start;
  for (;;) {
    const lineFeed = data.indexOf(LINE_FEED, lineStart);
    if (lineFeed < 0) return 0;
    const lineEnd =
      data[lineFeed - 1] === CARRIAGE_RETURN ? lineFeed - 1 : lineFeed;
    const isBlank = lineEnd <= lineStart;
    if (isBlank && lineStart > start) return lineFeed + 1;
    lineStart = lineFeed + 1;
    // A blank line before any field belongs to the event that follows.
    if (isBlank) continue;
  }
}

function readEventId(bytes: Buffer): string | undefined {
  return /(?:^|\n)id: ?([^\r\n]*)/.exec(bytes.toString('latin1'))?.[1];
}
