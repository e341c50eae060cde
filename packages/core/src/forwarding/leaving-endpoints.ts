import { z } from 'zod';

import type { Log, Metrics } from '../ports/index.js';
import { LogComponent, readableItems } from '../ports/index.js';
import { BoundedMap } from '../routing/index.js';
import type { EndpointRecord } from './endpoint-record.js';

const MAX_TEXT_LENGTH = 256;
/** Maximum number of endpoints in one message. */
const MAX_SHARED_ENDPOINTS = 256; // about 25 kB
/** Number of endpoints that are remembered. */
const MAX_KNOWN_ENDPOINTS = 4_096; // bounds memory to about 1 MB
/** Time for which an endpoint that leaves is passed on to peers. */
const SHARING_MS = 30_000; // many times the spread of hints

const text = z.string().min(1).max(MAX_TEXT_LENGTH);

const leavingEndpointSchema = z.object({
  endpointId: text,
  address: text,
  /** Start of the endpoint's incarnation in milliseconds since the Unix epoch; 0 if it is not known. */
  bornAtMs: z.number().nonnegative(),
  /** Time since the first response that said so. */
  ageMs: z.number().nonnegative(),
});

/** Endpoints that a daemon knows to be leaving, in its hints to its peers. */
export const leavingEndpointHintsSchema = readableItems(
  leavingEndpointSchema,
  MAX_SHARED_ENDPOINTS,
);

export type LeavingEndpointHint = Readonly<
  z.output<typeof leavingEndpointSchema>
>;

/** Incarnation of an endpoint that is leaving. */
interface LeavingEndpoint extends Omit<LeavingEndpointHint, 'ageMs'> {
  readonly saidAtMs: number;
}

/** Origin of what is known, as logged. */
enum LeavingSource {
  Response = 'response',
  Peer = 'peer',
}

export interface LeavingEndpointsDependencies {
  readonly nowMs: () => number;
  readonly log: Log;
  readonly metrics: Metrics;
}

/** Endpoints that say in their responses that they are leaving; they get no further requests in this incarnation. */
export class LeavingEndpoints {
  private readonly byId = new BoundedMap<string, LeavingEndpoint>(
    MAX_KNOWN_ENDPOINTS,
  );

  constructor(private readonly deps: LeavingEndpointsDependencies) {}

  has({ address, bornAtMs, id }: EndpointRecord): boolean {
    const known = this.byId.get(id);
    return known?.address === address && known.bornAtMs === (bornAtMs ?? 0);
  }

  /** Records that a response of the endpoint says so. */
  record(endpoint: EndpointRecord): void {
    if (this.has(endpoint)) return;
    const { address, bornAtMs, id } = endpoint;
    const saidAtMs = this.deps.nowMs();
    this.add(
      { endpointId: id, address, bornAtMs: bornAtMs ?? 0, saidAtMs },
      LeavingSource.Response,
    );
  }

  /** Returns the endpoints that began to leave lately, for this daemon's hints to its peers, the newest first. */
  hints(): LeavingEndpointHint[] {
    const nowMs = this.deps.nowMs();
    return [...this.byId.values()]
      .filter(({ saidAtMs }) => nowMs - saidAtMs < SHARING_MS)
      .sort((left, right) => right.saidAtMs - left.saidAtMs)
      .slice(0, MAX_SHARED_ENDPOINTS)
      .map(({ saidAtMs, ...endpoint }) => ({
        ...endpoint,
        ageMs: nowMs - saidAtMs,
      }));
  }

  /** Applies a peer's hints; their ages count from now. */
  applyPeer(hints: readonly LeavingEndpointHint[]): void {
    const nowMs = this.deps.nowMs();
    for (const { ageMs, ...endpoint } of hints) {
      const known = this.byId.get(endpoint.endpointId);
      if (known !== undefined && known.bornAtMs >= endpoint.bornAtMs) continue;
      this.add({ ...endpoint, saidAtMs: nowMs - ageMs }, LeavingSource.Peer);
    }
  }

  private add(endpoint: LeavingEndpoint, source: LeavingSource): void {
    this.byId.set(endpoint.endpointId, endpoint);
    const { log, metrics } = this.deps;
    metrics.increment('endpoints.leaving', 1);
    log.info(LogComponent.Routing, 'An endpoint says that it is leaving.', {
      endpoint: endpoint.endpointId,
      address: endpoint.address,
      source,
    });
  }
}
