import type {
  DispatchMetadata,
  ForwardProtocol,
  RawHeaders,
  RequestMetadata,
  ResponseMetadata,
} from '../index.js';
import { SAMPLE_HOST, sampleResponseMetadata } from './samples.js';

/** Fake protocol that writes the dispatch metadata to plain headers and reads fixed metadata. */
export class PlainProtocol implements ForwardProtocol {
  readRequest(): RequestMetadata {
    return {
      requestId: undefined,
      host: SAMPLE_HOST,
      apiKey: undefined,
      callerTimeoutMs: undefined,
      usage: undefined,
      promptParts: [],
      lastEventId: undefined,
    };
  }

  dispatchHeaders(headers: RawHeaders, metadata: DispatchMetadata): RawHeaders {
    const { lastEventId, remainingMs, urgency } = metadata;
    return [
      ...headers,
      'Remaining',
      String(remainingMs),
      ...(lastEventId === undefined ? [] : ['Last', lastEventId]),
      ...(urgency === undefined ? [] : ['Urgency', String(urgency)]),
    ];
  }

  readResponse(): ResponseMetadata {
    return sampleResponseMetadata('');
  }

  responseHeaders(headers: RawHeaders): RawHeaders {
    return headers;
  }

  errorHeaders(): RawHeaders {
    return [];
  }
}
