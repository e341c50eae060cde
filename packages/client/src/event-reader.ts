import { createParser } from 'eventsource-parser';
import type { Dispatcher } from 'undici';

/** One server-sent event. */
export interface ServerEvent {
  readonly id: string | undefined;
  readonly event: string | undefined;
  readonly data: string;
}

/**
 * Parses the server-sent events of a response body. Calls `onData` for every
 * chunk received. Throws where the connection breaks.
 */
export async function* readEvents(
  body: Dispatcher.ResponseData['body'],
  onData: () => void,
): AsyncGenerator<ServerEvent, void, undefined> {
  const pending: ServerEvent[] = [];
  const parser = createParser({
    onEvent: ({ data, event, id }) => pending.push({ data, event, id }),
  });
  const decoder = new TextDecoder();
  for await (const bytes of body) {
    onData();
    parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
    yield* pending.splice(0);
  }
}
