import type { DaemonIdentity, DataCentre } from '../ports/index.js';

/** The daemons that this daemon knows to be alive. */
export interface Membership {
  /** Daemons that were heard of lately, without this one. */
  live(): readonly DaemonIdentity[];
  /** Live daemons in other data centres than `dataCentre`. */
  peersOutside(dataCentre: DataCentre): readonly DaemonIdentity[];
}

/** What is known of a member. Later values take precedence at one incarnation. */
export enum MemberState {
  /** The platform lists it; no probe has reached it yet. */
  Listed = 'listed',
  Alive = 'alive',
  Suspect = 'suspect',
  Dead = 'dead',
  /** It announced that it stops. */
  Left = 'left',
}

/** One piece of news about a member, as sent between daemons. */
export interface MemberUpdate {
  readonly id: string;
  readonly state: MemberState;
  /** Raised by the member itself to refute a suspicion. */
  readonly incarnation: number;
  /** Sent with members that are alive, so that a receiver can reach them. */
  readonly identity?: DaemonIdentity | undefined;
}
