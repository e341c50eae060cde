import type {
  KeyVersion,
  PushMessage,
  ReplicatedValue,
  ReplicatedValueStore,
  SwimMembership,
  TreeBranch,
  ValuePatch,
} from '@skylarkreach/core/membership';
import {
  BroadcastTree,
  PatchOutcome,
  pullMethod,
  pushMethod,
} from '@skylarkreach/core/membership';
import type {
  Address,
  Clock,
  DaemonIdentity,
  Peer,
  Random,
} from '@skylarkreach/core/ports';
import { PlatformError } from '@skylarkreach/core/ports';

const PUSH_TIMEOUT_MS = 500;
const PULL_TIMEOUT_MS = 1_000;
/** Daemons of each other data centre that are told of a value accepted here. */
const ENTRIES_PER_DATA_CENTRE = 2;
/** Daemons of other data centres that a relay tells of a value it watched. */
const RELAY_ENTRIES = 2;

/** Hands new values to other daemons along trees, and fetches those that are missing here. */
export class Spreader {
  /** Values that arrived from a peer in a version older than the one held. */
  staleReceived = 0;

  constructor(
    private readonly store: ReplicatedValueStore,
    private readonly membership: SwimMembership,
    private readonly peer: Peer,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Takes a value accepted by this daemon and tells every data centre. */
  async publish(value: ReplicatedValue): Promise<void> {
    if (!this.store.apply(value)) return;
    const entries = this.entriesByDataCentre();
    await this.sendInto([value.key], entries);
  }

  /** Takes a value that this daemon, as a relay, has read from the key-value service. */
  async publishWatched(value: ReplicatedValue): Promise<void> {
    if (!this.store.apply(value)) return;
    const others = this.membership.peersOutside(this.dataCentre);
    const entries = [
      ...this.ownOtherCells(),
      ...this.pick(others, RELAY_ENTRIES),
    ];
    await this.sendInto([value.key], entries);
  }

  /** Takes a push; the news goes on before the answer's sender is known to have it. */
  receive(message: PushMessage): { wanted: string[] } {
    const outcomes = message.patches.map(patch => ({
      key: patch.key,
      outcome: this.takePatch(patch),
    }));
    const keysWith = (wanted: PatchOutcome) =>
      outcomes.filter(each => each.outcome === wanted).map(each => each.key);
    const taken = keysWith(PatchOutcome.Applied);
    if (taken.length > 0) {
      void (message.entersCell
        ? this.sendInto(taken, this.ownOtherCells())
        : this.sendAlong(taken, this.tree().childBranches()));
    }
    return { wanted: keysWith(PatchOutcome.NeedsFullValue) };
  }

  /** Fetches what a peer's digest shows to be newer there. False where the peer did not answer. */
  async fetchMissing(
    source: Address,
    digest: readonly KeyVersion[],
  ): Promise<boolean> {
    const missing = this.store.outdatedVersions(digest);
    if (missing.length === 0) return true;
    const deadlineAtMs = this.clock.nowMs() + PULL_TIMEOUT_MS;
    try {
      const answer = await this.peer.call(
        source,
        pullMethod,
        { digest: [...missing] },
        deadlineAtMs,
      );
      const taken = answer.patches.filter(
        patch => this.takePatch(patch) === PatchOutcome.Applied,
      );
      const keys = taken.map(patch => patch.key);
      void this.sendAlong(keys, this.tree().childBranches());
      return this.store.outdatedVersions(digest).length === 0;
    } catch (error) {
      if (error instanceof PlatformError) return false;
      throw error;
    }
  }

  private get dataCentre(): string {
    return this.membership.self.dataCentre;
  }

  private takePatch(patch: ValuePatch): PatchOutcome {
    if (patch.version < this.store.version(patch.key)) this.staleReceived += 1;
    return this.store.receivePatch(patch);
  }

  private tree(): BroadcastTree {
    return new BroadcastTree(this.membership.self, this.membership.cellPeers());
  }

  private async sendInto(
    keys: readonly string[],
    entries: readonly DaemonIdentity[],
  ): Promise<void> {
    await Promise.all([
      this.sendAlong(keys, this.tree().entryBranches()),
      ...entries.map(entry => this.pushEntry(entry, keys)),
    ]);
  }

  private async pushEntry(
    entry: DaemonIdentity,
    keys: readonly string[],
  ): Promise<void> {
    if (await this.push(entry, keys, true)) return;
    await this.push(entry, keys, true);
  }

  private async sendAlong(
    keys: readonly string[],
    branches: readonly TreeBranch[],
  ): Promise<void> {
    if (keys.length === 0) return;
    await Promise.all(branches.map(branch => this.sendBranch(keys, branch)));
  }

  private async sendBranch(
    keys: readonly string[],
    branch: TreeBranch,
  ): Promise<void> {
    if (await this.push(branch.child, keys, false)) return;
    const instead = [branch.child, ...branch.heirs];
    await Promise.all(instead.map(each => this.push(each, keys, false)));
  }

  /** True once the target holds the values. */
  private async push(
    target: DaemonIdentity,
    keys: readonly string[],
    entersCell: boolean,
  ): Promise<boolean> {
    const patches = keys.flatMap(key => this.store.incrementalPatch(key) ?? []);
    try {
      const wanted = await this.sendPatches(target, patches, entersCell);
      if (wanted.length === 0) return true;
      const whole = wanted.flatMap(key => this.store.fullPatch(key) ?? []);
      await this.sendPatches(target, whole, entersCell);
      return true;
    } catch (error) {
      if (error instanceof PlatformError) return false;
      throw error;
    }
  }

  private async sendPatches(
    target: DaemonIdentity,
    patches: ValuePatch[],
    entersCell: boolean,
  ): Promise<readonly string[]> {
    const answer = await this.peer.call(
      target.peerAddress,
      pushMethod,
      { patches, entersCell },
      this.clock.nowMs() + PUSH_TIMEOUT_MS,
    );
    return answer.wanted;
  }

  /** Known daemons in other cells of the own data centre. */
  private ownOtherCells(): readonly DaemonIdentity[] {
    return this.membership
      .peersOutsideCell()
      .filter(each => each.dataCentre === this.dataCentre);
  }

  private entriesByDataCentre(): readonly DaemonIdentity[] {
    const outside = this.membership.peersOutsideCell();
    const dataCentres = new Set(outside.map(each => each.dataCentre));
    return [...dataCentres].flatMap(dataCentre => {
      const known = outside.filter(each => each.dataCentre === dataCentre);
      return dataCentre === this.dataCentre
        ? known
        : this.pick(known, ENTRIES_PER_DATA_CENTRE);
    });
  }

  private pick(
    from: readonly DaemonIdentity[],
    count: number,
  ): readonly DaemonIdentity[] {
    if (from.length <= count) return from;
    const start = this.random.nextInteger(from.length);
    return [...from.slice(start), ...from.slice(0, start)].slice(0, count);
  }
}
