import type { DaemonIdentity } from '../ports/index.js';
import type { MemberUpdate } from './membership.js';
import { MemberState } from './membership.js';

/** State that this daemon announces about itself. */
export class LocalMember {
  private currentIncarnation: number;
  private isLeaving = false;

  /**
   * Initializes the incarnation from the clock, so that it exceeds that of the
   * process before a restart.
   */
  constructor(
    private readonly identity: DaemonIdentity,
    nowMs: number,
  ) {
    this.currentIncarnation = Math.floor(nowMs);
  }

  get incarnation(): number {
    return this.currentIncarnation;
  }

  /** Returns the update that announces this daemon as alive. */
  aliveUpdate(): MemberUpdate {
    const { currentIncarnation: incarnation, identity } = this;
    return { id: identity.id, state: MemberState.Alive, incarnation, identity };
  }

  /**
   * Returns the update that announces the shutdown. From then on updates are no
   * longer refuted.
   */
  leave(): MemberUpdate {
    this.isLeaving = true;
    const { currentIncarnation: incarnation, identity } = this;
    return { id: identity.id, state: MemberState.Left, incarnation };
  }

  /**
   * Refutes an update that claims this daemon is not alive, by raising the
   * incarnation above it. Returns false when no refutation is needed.
   */
  refute(update: MemberUpdate): boolean {
    const needsRefutation =
      update.state !== MemberState.Alive && !this.isLeaving;
    if (!needsRefutation || update.incarnation < this.incarnation) return false;
    this.currentIncarnation = update.incarnation + 1;
    return true;
  }
}
