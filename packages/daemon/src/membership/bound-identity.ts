import type { Address, DaemonIdentity } from '@skylarkreach/core/ports';

import type { Settings } from '../settings/index.js';

/** This daemon as others know it. Ports chosen by the system are known once the servers are bound. */
export class BoundIdentity implements DaemonIdentity {
  readonly id: string;
  readonly dataCentre: string;
  peerAddress: Address;
  callerUrl: string;
  readonly #configuredUrl: string | undefined;

  constructor(settings: Settings) {
    const { callerUrl, identity, listen } = settings;
    this.id = identity.daemonId;
    this.dataCentre = identity.dataCentre;
    this.peerAddress = listen.peers;
    this.callerUrl = callerUrl ?? `http://${listen.callers}`;
    this.#configuredUrl = callerUrl;
  }

  bind(callers: Address, peers: Address): void {
    this.peerAddress = peers;
    this.callerUrl = this.#configuredUrl ?? `http://${callers}`;
  }
}
