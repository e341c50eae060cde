import { EventSplitter } from './event-splitter.js';
import type { StreamTarget } from './forward-attempt.js';
import type { RawHeaders } from './forward-request.js';
import type { AnswerSink, EndpointAnswer } from './upstream.js';

/**
 * Hands the whole events of one or more runs of a request on to its caller as
 * one stream, each event once and in order, under the head of the first run.
 */
export class StreamRelay implements StreamTarget {
  /** Id of the last event that went on, or that the caller had before. */
  lastEventId: string | undefined;
  private splitter = new EventSplitter();
  private head: { status: number; headers: RawHeaders } | undefined;
  private hasBegunAnswer = false;

  /** `onFirstEvent` is called once, as the first event goes on. */
  constructor(
    private readonly sink: AnswerSink,
    private readonly answerHeaders: (headers: RawHeaders) => RawHeaders,
    lastEventId: string | undefined,
    private readonly onFirstEvent: () => void,
  ) {
    this.lastEventId = lastEventId;
  }

  /** Whether the caller has been sent any part of the answer. */
  get hasBegun(): boolean {
    return this.hasBegunAnswer;
  }

  begin({ headers, status }: EndpointAnswer): void {
    this.splitter = new EventSplitter();
    if (this.hasBegunAnswer) return;
    this.head = { status, headers: this.answerHeaders(headers) };
  }

  async write(chunk: Uint8Array): Promise<void> {
    const fresh = this.splitter
      .push(chunk)
      .filter(event => this.isNew(event.id))
      .map(event => {
        this.lastEventId = event.id ?? this.lastEventId;
        return event.bytes;
      });
    if (fresh.length === 0) return;
    this.beginAnswer();
    const [only] = fresh;
    const isSingle = fresh.length === 1 && only !== undefined;
    await this.sink.write(isSingle ? only : Buffer.concat(fresh));
  }

  finish(): boolean {
    if (this.splitter.hasPartial) return false;
    this.beginAnswer();
    this.sink.end();
    return true;
  }

  private beginAnswer(): void {
    if (this.hasBegunAnswer || this.head === undefined) return;
    this.hasBegunAnswer = true;
    this.sink.begin(this.head.status, this.head.headers, true);
    this.onFirstEvent();
  }

  /** A repeated run may begin before the place that was asked for. */
  private isNew(id: string | undefined): boolean {
    if (id === undefined || this.lastEventId === undefined) return true;
    return Number(id) > Number(this.lastEventId);
  }
}
