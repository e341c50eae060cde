import type {
  AnswerTraits,
  CallerTraits,
  DispatchTraits,
  ForwardProtocol,
  RawHeaders,
} from '../index.js';
import { SAMPLE_HOST, sampleResponseTraits } from './samples.js';

/** Protocol of the tests: the traits of the system become headers of their own. */
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

  dispatchHeaders(headers: RawHeaders, traits: DispatchTraits): RawHeaders {
    const { lastEventId, remainingMs } = traits;
    return [
      ...headers,
      'Remaining',
      String(remainingMs),
      ...(lastEventId === undefined ? [] : ['Last', lastEventId]),
    ];
  }

  readAnswer(): AnswerTraits {
    return sampleResponseTraits('');
  }

  answerHeaders(headers: RawHeaders): RawHeaders {
    return headers;
  }

  errorHeaders(): RawHeaders {
    return [];
  }
}
