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
  PeerClient,
  Random,
} from '@skylarkreach/core/ports';
import { PlatformError } from '@skylarkreach/core/ports';

const PUSH_TIMEOUT_MS = 500;
const PULL_TIMEOUT_MS = 1_000;
/** Size of patches from which a receiver is first asked whether it lacks them, in UTF-16 code units. */
const MIN_OFFERED_LENGTH = 4_096; // an offer costs a round trip
/** Longest wait before a value is broadcast that other daemons read too. */
const MAX_SHARED_WAIT_MS = 200; // an offer reaches most daemons within some tens of ms
/** Daemons in each other data centre that receive a value accepted by this daemon directly. */
const ENTRY_POINTS_PER_DATA_CENTRE = 2;
/** Daemons in other data centres that a relay sends a watched value to directly. */
const RELAY_ENTRY_POINTS = 2;

/** Broadcasts new values to other daemons along trees, one in each cell, and fetches missing values from peers. */
export class ValueBroadcaster {
  /** Number of values received from peers in an older version than the one held. */
  staleReceived = 0;
  /** Versions that this daemon has broadcast or forwarded, by key. */
  private readonly passedOn = new Map<string, number>();

  constructor(
    private readonly store: ReplicatedValueStore,
    private readonly membership: SwimMembership,
    private readonly peer: PeerClient,
    private readonly clock: Clock,
    private readonly random: Random,
  ) {}

  /** Stores a value accepted by this daemon and broadcasts it to every data centre. */
  async publish(value: ReplicatedValue): Promise<void> {
    if (!this.store.apply(value)) return;
    const entryPoints = this.entryPointsOfAllDataCentres();
    await this.broadcast([value.key], entryPoints);
  }

  /**
   * Stores a value that daemons read by themselves, and broadcasts it unless
   * another one does so within a random wait.
   */
  async publishShared(value: ReplicatedValue): Promise<void> {
    if (!this.store.apply(value)) return;
    const waitMs = this.random.nextInteger(MAX_SHARED_WAIT_MS);
    await this.clock.waitUntil(this.clock.nowMs() + waitMs);
    const { key, version } = value;
    const isSuperseded = this.store.version(key) > version;
    if (isSuperseded || this.isPassedOn(value)) return;
    await this.broadcast([key], this.entryPointsOfAllDataCentres());
  }

  /**
   * Stores and broadcasts a value that this daemon, as a relay, has read from
   * the key-value service.
   */
  async publishFromRelay(value: ReplicatedValue): Promise<void> {
    if (!this.store.apply(value)) return;
    const others = this.membership.peersOutside(this.dataCentre);
    const entryPoints = [
      ...this.otherCellsInDataCentre(),
      ...this.pickRandom(others, RELAY_ENTRY_POINTS),
    ];
    await this.broadcast([value.key], entryPoints);
  }

  /**
   * Applies pushed patches. Forwards the versions that are new to this daemon, or
   * that it holds and has not passed on yet, without waiting for the forwards.
   * Returns the offered keys that it lacks and those whose whole values it needs.
   */
  handlePush(message: PushMessage): { wanted: string[] } {
    const offers = message.offers ?? [];
    const needingFull = message.patches.filter(
      patch => this.applyPatch(patch) === PatchOutcome.NeedsFullValue,
    );
    const heldKeys = [...message.patches, ...offers]
      .filter(sent => this.store.version(sent.key) === sent.version)
      .filter(sent => !this.isPassedOn(sent))
      .map(sent => sent.key);
    if (heldKeys.length > 0) {
      void (message.entersCell
        ? this.broadcast(heldKeys, this.otherCellsInDataCentre())
        : this.sendToBranches(heldKeys, this.tree().childBranches()));
    }
    const lacking = this.store.outdatedVersions(offers);
    return { wanted: [...needingFull, ...lacking].map(({ key }) => key) };
  }

  /**
   * Fetches the values that are newer at a peer according to its digest. Returns
   * false where the peer did not answer or newer versions are still missing.
   */
  async fetchMissing(
    source: Address,
    digest: readonly KeyVersion[],
  ): Promise<boolean> {
    const missing = this.store.outdatedVersions(digest);
    if (missing.length === 0) return true;
    const deadlineAtMs = this.clock.nowMs() + PULL_TIMEOUT_MS;
    try {
      const response = await this.peer.call(
        source,
        pullMethod,
        { digest: [...missing] },
        deadlineAtMs,
      );
      const applied = response.patches.filter(
        patch => this.applyPatch(patch) === PatchOutcome.Applied,
      );
      const keys = applied.map(patch => patch.key);
      void this.sendToBranches(keys, this.tree().childBranches());
      return this.store.outdatedVersions(digest).length === 0;
    } catch (error) {
      if (error instanceof PlatformError) return false;
      throw error;
    }
  }

  private get dataCentre(): string {
    return this.membership.self.dataCentre;
  }

  private applyPatch(patch: ValuePatch): PatchOutcome {
    if (patch.version < this.store.version(patch.key)) this.staleReceived += 1;
    return this.store.receivePatch(patch);
  }

  private tree(): BroadcastTree {
    return new BroadcastTree(this.membership.self, this.membership.cellPeers());
  }

  private async broadcast(
    keys: readonly string[],
    entryPoints: readonly DaemonIdentity[],
  ): Promise<void> {
    await Promise.all([
      this.sendToBranches(keys, this.tree().entryBranches()),
      ...entryPoints.map(entryPoint => this.pushToEntryPoint(entryPoint, keys)),
    ]);
  }

  private async pushToEntryPoint(
    entryPoint: DaemonIdentity,
    keys: readonly string[],
  ): Promise<void> {
    if (await this.push(entryPoint, keys, true)) return;
    await this.push(entryPoint, keys, true);
  }

  private async sendToBranches(
    keys: readonly string[],
    branches: readonly TreeBranch[],
  ): Promise<void> {
    if (keys.length === 0) return;
    for (const key of keys) this.passedOn.set(key, this.store.version(key));
    await Promise.all(branches.map(branch => this.sendToBranch(keys, branch)));
  }

  private async sendToBranch(
    keys: readonly string[],
    branch: TreeBranch,
  ): Promise<void> {
    if (await this.push(branch.child, keys, false)) return;
    const fallbackTargets = [branch.child, ...branch.heirs];
    await Promise.all(
      fallbackTargets.map(target => this.push(target, keys, false)),
    );
  }

  /** Pushes values to a daemon. Returns true once it holds them. */
  private async push(
    target: DaemonIdentity,
    keys: readonly string[],
    entersCell: boolean,
  ): Promise<boolean> {
    try {
      const lackingKeys = await this.keysLackingAt(target, keys, entersCell);
      if (lackingKeys.length === 0) return true;
      const patches = this.incrementalPatches(lackingKeys);
      const wanted = await this.sendPatches(target, patches, entersCell);
      if (wanted.length === 0) return true;
      const wholeValues = wanted.flatMap(
        key => this.store.fullPatch(key) ?? [],
      );
      await this.sendPatches(target, wholeValues, entersCell);
      return true;
    } catch (error) {
      if (error instanceof PlatformError) return false;
      throw error;
    }
  }

  /** Returns the keys that a daemon lacks; all of them, without asking, where their patches are small. */
  private async keysLackingAt(
    target: DaemonIdentity,
    keys: readonly string[],
    entersCell: boolean,
  ): Promise<readonly string[]> {
    const length = this.incrementalPatches(keys)
      .map(patch => patch.inserted.length)
      .reduce((sum, each) => sum + each, 0);
    if (length < MIN_OFFERED_LENGTH) return keys;
    const offers = keys.map(key => ({ key, version: this.store.version(key) }));
    return this.sendPatches(target, [], entersCell, offers);
  }

  private incrementalPatches(keys: readonly string[]): ValuePatch[] {
    return keys.flatMap(key => this.store.incrementalPatch(key) ?? []);
  }

  private isPassedOn({ key, version }: KeyVersion): boolean {
    return (this.passedOn.get(key) ?? 0) >= version;
  }

  private async sendPatches(
    target: DaemonIdentity,
    patches: ValuePatch[],
    entersCell: boolean,
    offers: KeyVersion[] = [],
  ): Promise<readonly string[]> {
    const response = await this.peer.call(
      target.peerAddress,
      pushMethod,
      { patches, entersCell, offers },
      this.clock.nowMs() + PUSH_TIMEOUT_MS,
    );
    return response.wanted;
  }

  /** Returns the known daemons in other cells of the own data centre. */
  private otherCellsInDataCentre(): readonly DaemonIdentity[] {
    return this.membership
      .peersOutsideCell()
      .filter(peer => peer.dataCentre === this.dataCentre);
  }

  /** Returns the other cells' daemons in the own data centre and a few daemons in each other one. */
  private entryPointsOfAllDataCentres(): readonly DaemonIdentity[] {
    const outside = this.membership.peersOutsideCell();
    const dataCentres = new Set(outside.map(peer => peer.dataCentre));
    return [...dataCentres].flatMap(dataCentre => {
      const known = outside.filter(peer => peer.dataCentre === dataCentre);
      return dataCentre === this.dataCentre
        ? known
        : this.pickRandom(known, ENTRY_POINTS_PER_DATA_CENTRE);
    });
  }

  /** Returns up to `count` consecutive daemons, from a random start. */
  private pickRandom(
    candidates: readonly DaemonIdentity[],
    count: number,
  ): readonly DaemonIdentity[] {
    if (candidates.length <= count) return candidates;
    const start = this.random.nextInteger(candidates.length);
    return [...candidates.slice(start), ...candidates.slice(0, start)].slice(
      0,
      count,
    );
  }
}
