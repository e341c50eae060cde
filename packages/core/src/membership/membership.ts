import type { DaemonIdentity, DataCentre } from '../ports/index.js';

/** Read access to the daemons that this daemon considers alive. */
export interface Membership {
  /** Returns the daemons that are alive or suspected, excluding this one. */
  live(): readonly DaemonIdentity[];
  /** Returns the live daemons outside `dataCentre`. */
  peersOutside(dataCentre: DataCentre): readonly DaemonIdentity[];
}

/** State of a member. At equal incarnations later values take precedence. */
export enum MemberState {
  /** Listed by the platform; no message has been received from it yet. */
  Listed = 'listed',
  Alive = 'alive',
  Suspect = 'suspect',
  Dead = 'dead',
  /** Has announced that it is shutting down. */
  Left = 'left',
}

/** State update about one member, as sent between daemons. */
export interface MemberUpdate {
  readonly id: string;
  readonly state: MemberState;
  /** Incarnation number; only the member itself raises it, to refute a suspicion. */
  readonly incarnation: number;
  /** Sent for members that are alive, so that the receiver can contact them. */
  readonly identity?: DaemonIdentity | undefined;
}
