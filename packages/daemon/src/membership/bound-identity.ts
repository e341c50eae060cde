import type { Address, DaemonIdentity } from '@skylarkreach/core/ports';

import type { Settings } from '../settings/index.js';

/** Identity of this daemon as its peers see it. Ports that the operating system chooses are known once the servers are bound. */
export class BoundIdentity implements DaemonIdentity {
  readonly id: string;
  readonly dataCentre: string;
  peerAddress: Address;
  callerUrl: string;
  readonly #configuredCallerUrl: string | undefined;

  constructor(settings: Settings) {
    const { callerUrl, identity, listen } = settings;
    this.id = identity.daemonId;
    this.dataCentre = identity.dataCentre;
    this.peerAddress = listen.peers;
    this.callerUrl = callerUrl ?? `http://${listen.callers}`;
    this.#configuredCallerUrl = callerUrl;
  }

  /** Sets the addresses that the servers are bound to. */
  bind(callers: Address, peers: Address): void {
    this.peerAddress = peers;
    this.callerUrl = this.#configuredCallerUrl ?? `http://${callers}`;
  }
}
