import type {
  EndpointRecord,
  EndpointResponse,
  PoolReservation,
  RelayedRequest,
  RequestRelay,
  Upstream,
} from '@skylarkreach/core/forwarding';
import { ForwardErrorKind } from '@skylarkreach/core/forwarding';
import type { DataCentre } from '@skylarkreach/core/ports';
import { NotSentError } from '@skylarkreach/core/ports';
import type { EndpointReachability } from '@skylarkreach/core/reachability';
import { RelayPeers } from '@skylarkreach/core/reachability';

import { MessageSigner } from '../peers/index.js';
import type { GatewayCluster } from './gateway-cluster.js';
import type { GatewayContext } from './gateway-context.js';
import {
  encodeRelayMessage,
  RELAY_PATH,
  RelayHeader,
} from './relay-message.js';

export interface RelayClientDependencies {
  readonly reachability: EndpointReachability;
  readonly peers: RelayPeers;
  /** Client with the connections to peers. */
  readonly upstream: Pick<Upstream, 'send'>;
  readonly signer: MessageSigner;
}

/** Reasons after which the request was sent to an endpoint, which did not execute it. */
const REFUSED_BY_ENDPOINT: ReadonlySet<string> = new Set([
  ForwardErrorKind.Overloaded,
  ForwardErrorKind.TimedOutNotRun,
]);

const MIN_REFUSAL_STATUS = 400;
const MIN_SERVER_ERROR_STATUS = 500;

/** Sends requests through peers, over the server on which they exchange their messages. */
export class RelayClient implements RequestRelay {
  constructor(private readonly deps: RelayClientDependencies) {}

  isUnreachable(group: string): boolean {
    return this.deps.reachability.isUnreachable(group);
  }

  reserve(
    group: string,
    excludedIds: ReadonlySet<string>,
    nowMs: number,
    allowedDataCentres?: ReadonlySet<DataCentre>,
  ): PoolReservation | undefined {
    if (!this.isUnreachable(group)) return undefined;
    const { peers } = this.deps;
    return peers.reserve(group, excludedIds, nowMs, allowedDataCentres);
  }

  onSilence(group: string, listener: () => void): () => void {
    return this.deps.reachability.onSilence(group, listener);
  }

  async send(
    peer: EndpointRecord,
    relayed: RelayedRequest,
    onEndpoint: (endpointId: string) => void,
    signal: AbortSignal,
  ): Promise<EndpointResponse> {
    const { signer, upstream } = this.deps;
    const { mayWrite } = relayed;
    const body = encodeRelayMessage(relayed);
    const signature = Object.entries(signer.sign(peer.address, body)).flat();
    const response = await upstream.send(
      {
        endpoint: peer,
        method: 'POST',
        target: RELAY_PATH,
        headers: signature,
        body,
        isEndpointUsable: () => true,
        ...(mayWrite && { mayWrite }),
      },
      signal,
    );
    const added = splitHeaders(response.headers);
    const endpointId = added.byName.get(RelayHeader.Endpoint);
    // A peer that refuses a request itself names an empty endpoint.
    const hasEndpoint = endpointId !== undefined && endpointId !== '';
    if (hasEndpoint) onEndpoint(endpointId);
    const notRun = added.byName.get(RelayHeader.NotRun);
    if (endpointId === undefined && isMessageRefusal(response.status)) {
      await readToEnd(response.body);
      throw new NotSentError(
        `Peer ${peer.id} refused the message (${response.status}).`,
      );
    }
    if (notRun === undefined) return { ...response, headers: added.others };
    if (hasEndpoint && REFUSED_BY_ENDPOINT.has(notRun)) {
      const { requestId } = relayed.request;
      const metadata = { ...response.metadata, requestId, isNotRun: true };
      return { ...response, headers: added.others, metadata };
    }
    await readToEnd(response.body);
    throw new NotSentError(
      `Peer ${peer.id} sent the request on to no endpoint (${notRun}).`,
    );
  }
}

/** Returns whether a response in which the peer names no endpoint says that it did not take the message. */
function isMessageRefusal(status: number): boolean {
  return status >= MIN_REFUSAL_STATUS && status < MIN_SERVER_ERROR_STATUS;
}

/** Reads an empty body, which leaves its connection reusable. */
async function readToEnd(body: AsyncIterable<Uint8Array>): Promise<void> {
  const chunks = body[Symbol.asyncIterator]();
  let isDone = false;
  while (!isDone) isDone = (await chunks.next()).done === true;
}

/** Separates the headers that a peer added from those of the endpoint. */
function splitHeaders(headers: readonly string[]): {
  readonly byName: ReadonlyMap<string, string>;
  readonly others: readonly string[];
} {
  const names: ReadonlySet<string> = new Set(Object.values(RelayHeader));
  const byName = new Map<string, string>();
  const others: string[] = [];
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    const value = headers[index + 1] ?? '';
    const lowerName = name.toLowerCase();
    if (!names.has(lowerName)) others.push(name, value);
    // The peer's own headers come first.
    else if (!byName.has(lowerName)) byName.set(lowerName, value);
  }
  return { byName, others };
}

/** Creates the relay client of a gateway, which finds peers by its cluster's hints. */
export function createRelayClient(
  context: GatewayContext,
  {
    cluster,
    reachability,
    upstream,
  }: Pick<RelayClientDependencies, 'reachability' | 'upstream'> & {
    readonly cluster: GatewayCluster;
  },
): RelayClient {
  const { clock, settings } = context;
  return new RelayClient({
    reachability,
    upstream,
    signer: new MessageSigner(settings.peerSecret, clock),
    peers: new RelayPeers({
      ...context,
      reachability,
      livePeers: () => cluster.membership.live(),
      freshHints: nowMs => cluster.hintBoard.freshHints(nowMs),
    }),
  });
}
