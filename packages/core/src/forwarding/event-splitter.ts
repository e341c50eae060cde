import { GrowingBuffer } from './growing-buffer.js';

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
  /** Bytes of the incomplete event. */
  private readonly pending = new GrowingBuffer(MAX_EVENT_BYTES);
  /** Offset in `pending` of the line to look at next; the lines before end no event. */
  private nextLine = 0;

  /** Whether bytes of an incomplete event are buffered. */
  get hasPartialEvent(): boolean {
    return this.pending.length > 0;
  }

  /** Bytes of memory held for an incomplete event. */
  get bufferedBytes(): number {
    return this.pending.capacity;
  }

  /** Adds bytes and returns the events that they complete. Throws `EventTooLargeError`. */
  push(chunk: Uint8Array): readonly CompleteEvent[] {
    const data = this.join(chunk);
    const events: CompleteEvent[] = [];
    let start = 0;
    let scan = findEventEnd(data, start, this.nextLine);
    while (scan.end !== undefined) {
      const isAll = start === 0 && scan.end === data.length;
      const bytes = isAll ? data : data.subarray(start, scan.end);
      events.push({ bytes, id: readEventId(bytes) });
      start = scan.end;
      scan = findEventEnd(data, start, start);
    }
    this.nextLine = scan.nextLine - start;
    this.keep(data, start);
    return events;
  }

  /** Keeps the bytes of the incomplete event at `start`. */
  private keep(data: Buffer, start: number): void {
    const { pending } = this;
    if (start === data.length && pending.length === 0) return;
    const rest = data.subarray(start);
    if (rest.length > MAX_EVENT_BYTES) {
      throw new EventTooLargeError(
        `A stream event exceeds ${MAX_EVENT_BYTES} bytes; send smaller events.`,
      );
    }
    // Where no event ended, a chunk that fits has been appended already.
    if (start > 0 || pending.length < data.length) pending.reset(rest);
  }

  /** Returns the bytes of the incomplete event with the chunk after them. */
  private join(chunk: Uint8Array): Buffer {
    const { pending } = this;
    if (pending.length === 0) return asBuffer(chunk);
    if (!pending.fits(chunk)) return Buffer.concat([pending.bytes, chunk]);
    pending.append(chunk);
    return pending.bytes;
  }
}

/** Result of the search for the end of an event. */
interface EventScan {
  /** Offset after the blank line that ends the event; undefined if it is incomplete. */
  readonly end: number | undefined;
  /** Offset of the first line that has no end yet. */
  readonly nextLine: number;
}

/** Searches for the end of the event at `start`, from the line at `firstLine` on. */
function findEventEnd(
  data: Buffer,
  start: number,
  firstLine: number,
): EventScan {
  let lineStart = firstLine;
  for (;;) {
    const lineFeed = data.indexOf(LINE_FEED, lineStart);
    if (lineFeed < 0) return { end: undefined, nextLine: lineStart };
    const lineEnd =
      data[lineFeed - 1] === CARRIAGE_RETURN ? lineFeed - 1 : lineFeed;
    const isBlank = lineEnd <= lineStart;
    if (isBlank && lineStart > start)
      return { end: lineFeed + 1, nextLine: lineFeed + 1 };
    // A blank line before any field belongs to the event that follows.
    lineStart = lineFeed + 1;
  }
}

/** Returns the same bytes without a copy. */
function asBuffer(chunk: Uint8Array): Buffer {
  return Buffer.isBuffer(chunk)
    ? chunk
    : Buffer.from(chunk.buffer, chunk.byteOffset, chunk.byteLength);
}

function readEventId(bytes: Buffer): string | undefined {
  return /(?:^|\n)id: ?([^\r\n]*)/.exec(bytes.toString('latin1'))?.[1];
}
