import { BrittleEndpoints } from '@skylarkreach/core/brittle-endpoints';
import { ColdStarts } from '@skylarkreach/core/cold-starts';
import { EndpointLimits } from '@skylarkreach/core/endpoint-limits';
import type { ColdStart } from '@skylarkreach/core/forwarding';
import {
  LeavingEndpoints,
  PausedEndpoints,
} from '@skylarkreach/core/forwarding';
import { KnownDaemons } from '@skylarkreach/core/membership';
import type { DaemonIdentity } from '@skylarkreach/core/ports';
import { LogComponent } from '@skylarkreach/core/ports';

import type { Loop } from '../loops/index.js';
import { createIntervalLoop } from '../loops/index.js';
import type { GatewayContext } from './gateway-context.js';

/** Interval between looks at which endpoints are cold, and between changes of what peers are told of them. */
const COLD_STARTS_INTERVAL_MS = 500; // as between exchanges of hints

export interface EndpointGuardsDependencies {
  readonly livePeers: () => readonly DaemonIdentity[];
  /** Returns the milliseconds since the Unix epoch on which most daemons agree. */
  readonly timeMs: () => number;
  readonly coldStartOf: (group: string) => ColdStart | undefined;
  /** Returns the latest start of a read that confirms the list of endpoints in use. */
  readonly listConfirmedAtMs: () => number;
}

/** What decides whether an endpoint may be sent a request now, with the daemons that share its limits. */
export interface EndpointGuards {
  readonly knownDaemons: KnownDaemons;
  readonly limiter: EndpointLimits;
  readonly overloadGuard: BrittleEndpoints;
  readonly leaving: LeavingEndpoints;
  readonly paused: PausedEndpoints;
  readonly coldStarts: ColdStarts;
  readonly coldStartsLoop: Loop;
}

export function createEndpointGuards(
  context: GatewayContext,
  { livePeers, ...deps }: EndpointGuardsDependencies,
): EndpointGuards {
  const { bounds, identity } = context.settings;
  const ownId = identity.daemonId;
  const nowMs = () => context.clock.nowMs();
  const daemons = new KnownDaemons({ ownId, nowMs, livePeers });
  const sharing = { ...context, ownId, nowMs, daemons };
  const coldStarts = new ColdStarts({
    ...sharing,
    ...deps,
    bound: { overage: bounds.coldOverage, slack: bounds.coldSlack },
  });
  return {
    knownDaemons: daemons,
    limiter: new EndpointLimits(sharing),
    overloadGuard: new BrittleEndpoints(sharing),
    leaving: new LeavingEndpoints(sharing),
    paused: new PausedEndpoints(sharing),
    coldStarts,
    coldStartsLoop: createIntervalLoop(
      context,
      LogComponent.Routing,
      'cold starts',
      COLD_STARTS_INTERVAL_MS,
      () => coldStarts.step(),
    ),
  };
}
