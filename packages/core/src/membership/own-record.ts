import type { DaemonIdentity } from '../ports/index.js';
import type { MemberUpdate } from './membership.js';
import { MemberState } from './membership.js';

/** What this daemon says of itself. */
export class OwnRecord {
  private currentIncarnation: number;
  private leaving = false;

  /** The incarnation starts from the clock, so that a restart outranks its earlier life. */
  constructor(
    private readonly identity: DaemonIdentity,
    nowMs: number,
  ) {
    this.currentIncarnation = Math.floor(nowMs);
  }

  get incarnation(): number {
    return this.currentIncarnation;
  }

  alive(): MemberUpdate {
    const { currentIncarnation: incarnation, identity } = this;
    return { id: identity.id, state: MemberState.Alive, incarnation, identity };
  }

  /** The news that this daemon stops; it refutes nothing from then on. */
  leave(): MemberUpdate {
    this.leaving = true;
    const { currentIncarnation: incarnation, identity } = this;
    return { id: identity.id, state: MemberState.Left, incarnation };
  }

  /** Raises the incarnation above news that this daemon is not alive; false where none is needed. */
  refute(update: MemberUpdate): boolean {
    const isAccused = update.state !== MemberState.Alive && !this.leaving;
    if (!isAccused || update.incarnation < this.incarnation) return false;
    this.currentIncarnation = update.incarnation + 1;
    return true;
  }
}
