/** Whole events of a `text/event-stream`, as the bytes that were received. */
export interface WholeEvent {
  readonly bytes: Uint8Array;
  /** Value of the event's `id` field, where it has one. */
  readonly id: string | undefined;
}

/** Largest event that is kept while its end has not arrived. */
const MAX_EVENT_BYTES = 1_048_576; // bounds the memory of one stream

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;

/** An event is larger than a stream may hold back. */
export class EventTooLargeError extends Error {
  override readonly name = 'EventTooLargeError';
}

/**
 * Cuts a stream after each blank line, and leaves the bytes as they are. A
 * parser of fields alone loses the bytes, which callers check against a digest.
 */
export class EventSplitter {
  private pending: Buffer = Buffer.alloc(0);

  /** Bytes of an event that has not ended. */
  get hasPartial(): boolean {
    return this.pending.length > 0;
  }

  /** Takes bytes and returns the events that they end. Throws `EventTooLargeError`. */
  push(chunk: Uint8Array): readonly WholeEvent[] {
    const data =
      this.pending.length === 0
        ? Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength)
        : Buffer.concat([this.pending, chunk]);
    const events: WholeEvent[] = [];
    let start = 0;
    let end = endOfEvent(data, start);
    while (end > 0) {
      const bytes = data.subarray(start, end);
      events.push({ bytes, id: idOf(bytes) });
      start = end;
      end = endOfEvent(data, start);
    }
    this.pending = data.subarray(start);
    if (this.pending.length > MAX_EVENT_BYTES) {
      throw new EventTooLargeError(
        `An event is over ${MAX_EVENT_BYTES} bytes; send smaller events.`,
      );
    }
    return events;
  }
}

/** Offset after the blank line that ends the event at `start`, or 0 where there is none. */
function endOfEvent(data: Buffer, start: number): number {
  let lineStart = start;
  for (;;) {
    const feed = data.indexOf(LINE_FEED, lineStart);
    if (feed < 0) return 0;
    const lineEnd = data[feed - 1] === CARRIAGE_RETURN ? feed - 1 : feed;
    const isBlank = lineEnd <= lineStart;
    if (isBlank && lineStart > start) return feed + 1;
    lineStart = feed + 1;
    // A blank line before any field belongs to the event that follows.
    if (isBlank) continue;
  }
}

function idOf(bytes: Buffer): string | undefined {
  return /(?:^|\n)id: ?([^\r\n]*)/.exec(bytes.toString('latin1'))?.[1];
}
