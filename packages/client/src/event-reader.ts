import { createParser } from 'eventsource-parser';
import type { Dispatcher } from 'undici';

/** One server-sent event. */
export interface ServerEvent {
  readonly id: string | undefined;
  readonly event: string | undefined;
  readonly data: string;
}

/**
 * Reads the events of a response. Throws where the connection breaks; calls
 * `onByte` whenever anything arrives.
 */
export async function* readEvents(
  body: Dispatcher.ResponseData['body'],
  onByte: () => void,
): AsyncGenerator<ServerEvent, void, undefined> {
  const pending: ServerEvent[] = [];
  const parser = createParser({
    onEvent: ({ data, event, id }) => pending.push({ data, event, id }),
  });
  const decoder = new TextDecoder();
  for await (const bytes of body) {
    onByte();
    parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
    yield* pending.splice(0);
  }
}
