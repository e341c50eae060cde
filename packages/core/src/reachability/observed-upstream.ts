import type {
  EndpointRecord,
  EndpointRequest,
  EndpointResponse,
  Upstream,
} from '../forwarding/index.js';
import type { Clock } from '../ports/index.js';
import { NotSentError } from '../ports/index.js';
import type { EndpointReachability } from './endpoint-reachability.js';
import type { GroupReachability } from './group-reachability.js';

/** Client for endpoints that records what its requests show about their reachability. */
export class ObservedUpstream implements Upstream {
  constructor(
    private readonly upstream: Upstream,
    private readonly reachability: EndpointReachability,
    private readonly clock: Clock,
  ) {}

  async send(
    call: EndpointRequest,
    signal: AbortSignal,
  ): Promise<EndpointResponse> {
    const state = this.reachability.of(call.endpoint.group);
    state.recordSent(this.clock.nowMs());
    try {
      const response = await this.upstream.send(call, signal);
      state.recordHeard(this.clock.nowMs());
      const body = new ObservedBody(response.body, state, this.clock, signal);
      return { ...response, body };
    } catch (error) {
      if (error instanceof NotSentError) {
        if (call.isEndpointUsable()) state.recordConnectFailure();
      } else if (!signal.aborted) {
        state.recordLostResponse();
      }
      throw error;
    }
  }

  refusesConnections(endpoint: EndpointRecord): Promise<boolean> {
    return this.upstream.refusesConnections(endpoint);
  }

  dropsConnections(endpoint: EndpointRecord): Promise<boolean> {
    return this.upstream.dropsConnections(endpoint);
  }

  acceptsConnections(endpoint: EndpointRecord): Promise<boolean> {
    return this.upstream.acceptsConnections(endpoint);
  }
}

/**
 * Body of a response that records when its chunks arrive. It passes on the
 * iterator's results, as an async generator costs several promises for each chunk.
 */
class ObservedBody implements AsyncIterableIterator<Uint8Array> {
  private chunks: AsyncIterator<Uint8Array> | undefined;

  constructor(
    private readonly body: AsyncIterable<Uint8Array>,
    private readonly state: GroupReachability,
    private readonly clock: Clock,
    private readonly signal: AbortSignal,
  ) {}

  [Symbol.asyncIterator](): this {
    return this;
  }

  next(): Promise<IteratorResult<Uint8Array>> {
    if (this.chunks === undefined) {
      this.chunks = this.body[Symbol.asyncIterator]();
      // A stream that falls silent waits like a request that was just sent.
      this.state.recordSent(this.clock.nowMs());
    }
    return this.chunks.next().then(this.onResult, this.onError);
  }

  return(): Promise<IteratorResult<Uint8Array>> {
    return (
      this.chunks?.return?.() ??
      Promise.resolve({ done: true, value: undefined })
    );
  }

  private readonly onResult = (
    result: IteratorResult<Uint8Array>,
  ): IteratorResult<Uint8Array> => {
    const nowMs = this.clock.nowMs();
    this.state.recordHeard(nowMs);
    if (result.done !== true) this.state.recordSent(nowMs);
    return result;
  };

  private readonly onError = (error: unknown): never => {
    if (!this.signal.aborted) this.state.recordLostResponse();
    throw error;
  };
}
