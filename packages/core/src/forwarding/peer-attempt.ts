import type { AttemptOutcome } from './attempt-outcome.js';
import type { AttemptDependencies, AttemptOptions } from './forward-attempt.js';
import { ForwardAttempt } from './forward-attempt.js';
import type { AttemptObservation } from './forwarder.js';
import type { PoolReservation } from './pool-reservation.js';
import type { RelayedRequest, RequestRelay } from './request-relay.js';
import type { Upstream } from './upstream.js';

export interface PeerAttempt extends Omit<AttemptDependencies, 'upstream'> {
  readonly upstream: Pick<Upstream, 'acceptsConnections'>;
  readonly requestRelay: RequestRelay;
  readonly reservation: PoolReservation;
  readonly relayed: RelayedRequest;
  readonly options: Omit<AttemptOptions, 'observation' | 'requestId'>;
  /** Called with the endpoint that the peer chose. */
  readonly onEndpoint: (endpointId: string) => void;
}

/** The peer assesses the endpoint's version. */
const NO_OBSERVATION: AttemptObservation = {
  recordEvents: () => undefined,
  end: () => undefined,
};

/** Makes one attempt through a peer, whose response is followed like that of an endpoint. */
export function runPeerAttempt({
  clock,
  nextPoll,
  onEndpoint,
  options,
  relayed,
  requestRelay,
  reservation,
  responseMemory,
  upstream: endpoints,
}: PeerAttempt): Promise<AttemptOutcome> {
  const upstream: AttemptDependencies['upstream'] = {
    send: ({ endpoint }, signal) =>
      requestRelay.send(endpoint, relayed, onEndpoint, signal),
    acceptsConnections: peer => endpoints.acceptsConnections(peer),
  };
  const { requestId } = relayed.request;
  const attempt = new ForwardAttempt(
    { clock, nextPoll, responseMemory, upstream },
    reservation,
    {
      ...options,
      requestId,
      observation: NO_OBSERVATION,
    },
  );
  const isEndpointUsable = () => true;
  const { endpoint } = reservation;
  return attempt.run({ ...relayed.request, endpoint, isEndpointUsable });
}
