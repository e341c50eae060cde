import type { DaemonIdentity } from '../ports/index.js';
import { rankDaemons } from './rendezvous.js';

const FAN_OUT = 4;

/** Members that a daemon hands news to. */
export interface TreeBranch {
  readonly child: DaemonIdentity;
  /** Members that get the news from elsewhere where the child fails. */
  readonly heirs: readonly DaemonIdentity[];
}

/**
 * Tree over the live members of one cell, by rendezvous rank. Views may differ
 * between daemons; what a difference leaves out comes by anti-entropy.
 */
export class SpreadTree {
  private readonly ranked: readonly DaemonIdentity[];

  constructor(
    private readonly self: DaemonIdentity,
    peers: readonly DaemonIdentity[],
  ) {
    this.ranked = rankDaemons('tree', [self, ...peers]);
  }

  /** Children of this daemon's own place, for news that came along the tree. */
  ownBranches(): readonly TreeBranch[] {
    return this.branches(this.childList(this.self));
  }

  /** The top of the tree and the own children, for news that enters the cell here. */
  rootBranches(): readonly TreeBranch[] {
    const roots = this.ranked.slice(0, FAN_OUT);
    return [...this.branches(roots), ...this.ownBranches()];
  }

  private branches(children: readonly DaemonIdentity[]): readonly TreeBranch[] {
    return children
      .filter(child => child.id !== this.self.id)
      .map(child => ({ child, heirs: this.childList(child) }));
  }

  private childList(parent: DaemonIdentity): readonly DaemonIdentity[] {
    const index = this.ranked.findIndex(each => each.id === parent.id);
    if (index < 0) return [];
    const first = FAN_OUT * (index + 1);
    return this.ranked.slice(first, first + FAN_OUT);
  }
}
