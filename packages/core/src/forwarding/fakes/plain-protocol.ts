import type {
  AnswerTraits,
  CallerTraits,
  DispatchTraits,
  ForwardProtocol,
  RawHeaders,
} from '../index.js';
import { SAMPLE_HOST, sampleResponseMetadata } from './samples.js';

/** Fake protocol that writes the dispatch metadata to plain headers and reads fixed metadata. */
export class PlainProtocol implements ForwardProtocol {
  readCaller(): CallerTraits {
    return {
      requestId: undefined,
      host: SAMPLE_HOST,
      apiKey: undefined,
      waitsMs: undefined,
      usage: undefined,
      promptParts: [],
      lastEventId: undefined,
    };
  }

  dispatchHeaders(headers: RawHeaders, metadata: DispatchTraits): RawHeaders {
    const { lastEventId, remainingMs } = metadata;
    return [
      ...headers,
      'Remaining',
      String(remainingMs),
      ...(lastEventId === undefined ? [] : ['Last', lastEventId]),
    ];
  }

  readAnswer(): AnswerTraits {
    return sampleResponseMetadata('');
  }

  answerHeaders(headers: RawHeaders): RawHeaders {
    return headers;
  }

  errorHeaders(): RawHeaders {
    return [];
  }
}
