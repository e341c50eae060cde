import type { DaemonIdentity } from '../ports/index.js';
import { rankDaemons } from './rendezvous.js';

const FAN_OUT = 4;

/** Child in the tree, with the members to send to when the child fails. */
export interface TreeBranch {
  readonly child: DaemonIdentity;
  /** Children of the child, which receive the values directly when the child does not answer. */
  readonly heirs: readonly DaemonIdentity[];
}

/**
 * Broadcast tree over the live members of one cell, ordered by rendezvous rank.
 * Daemons may know different members; anti-entropy delivers what a member misses
 * for that reason.
 */
export class BroadcastTree {
  private readonly rankedMembers: readonly DaemonIdentity[];

  constructor(
    private readonly self: DaemonIdentity,
    peers: readonly DaemonIdentity[],
  ) {
    this.rankedMembers = rankDaemons('tree', [self, ...peers]);
  }

  /** Returns the branches to this daemon's children, for values that arrived through the tree. */
  childBranches(): readonly TreeBranch[] {
    return this.branches(this.childrenOf(this.self));
  }

  /**
   * Returns the branches to the roots and to this daemon's children, for values
   * that enter the cell at this daemon.
   */
  entryBranches(): readonly TreeBranch[] {
    const roots = this.rankedMembers.slice(0, FAN_OUT);
    return [...this.branches(roots), ...this.childBranches()];
  }

  private branches(children: readonly DaemonIdentity[]): readonly TreeBranch[] {
    return children
      .filter(child => child.id !== this.self.id)
      .map(child => ({ child, heirs: this.childrenOf(child) }));
  }

  private childrenOf(parent: DaemonIdentity): readonly DaemonIdentity[] {
    const index = this.rankedMembers.findIndex(
      member => member.id === parent.id,
    );
    if (index < 0) return [];
    const first = FAN_OUT * (index + 1);
    return this.rankedMembers.slice(first, first + FAN_OUT);
  }
}
