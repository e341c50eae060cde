import { MAX_DIGEST_KEYS } from './messages.js';
import type { KeyVersion, SpreadPatch, SpreadValue } from './spread-value.js';
import { applyPatch, diffValues, wholePatch } from './spread-value.js';

/** Most keys that are spread at one time. */
const MAX_KEYS = 1_024;
/** Time after which values that were not confirmed count as unconfirmed. */
const FRESH_FOR_MS = 15_000;

export type ValueListener = (value: SpreadValue) => void;

/** What came of a patch that was received. */
export enum PatchOutcome {
  Taken = 'taken',
  /** The version is held already, or a newer one. */
  Known = 'known',
  /** The base version is not held; the whole value is needed. */
  Wanted = 'wanted',
}

interface HeldValue {
  readonly current: SpreadValue;
  /** Change from the version held before. */
  readonly patch: SpreadPatch;
}

/** The newest version of each spread value that this process has seen. Versions only rise. */
export class SpreadStore {
  private readonly held = new Map<string, HeldValue>();
  private readonly listeners: ValueListener[] = [];
  private digestStart = 0;
  private confirmedUntilMs = 0;
  private confirmedAt = Number.NEGATIVE_INFINITY;

  /** Calls the listener with each newer version from now on. */
  onValue(listener: ValueListener): void {
    this.listeners.push(listener);
  }

  /** Takes a version; false where it is not newer or no further key fits. */
  take(value: SpreadValue): boolean {
    const current = this.held.get(value.key)?.current;
    if (current !== undefined && value.version <= current.version) return false;
    if (current === undefined && this.held.size >= MAX_KEYS) return false;
    const patch = diffValues(current, value);
    this.held.set(value.key, { current: value, patch });
    for (const listener of this.listeners) listener(value);
    return true;
  }

  takePatch(patch: SpreadPatch): PatchOutcome {
    const current = this.held.get(patch.key)?.current;
    if (patch.version <= (current?.version ?? 0)) return PatchOutcome.Known;
    const value = applyPatch(current, patch);
    if (value === undefined) return PatchOutcome.Wanted;
    return this.take(value) ? PatchOutcome.Taken : PatchOutcome.Known;
  }

  version(key: string): number {
    return this.held.get(key)?.current.version ?? 0;
  }

  /** Change from the version before, for a peer that has just that one. */
  patchOf(key: string): SpreadPatch | undefined {
    return this.held.get(key)?.patch;
  }

  wholeOf(key: string): SpreadPatch | undefined {
    const value = this.held.get(key)?.current;
    return value === undefined ? undefined : wholePatch(value);
  }

  /** Versions held; a bounded range that moves on with each call. */
  nextDigest(): readonly KeyVersion[] {
    const keys = [...this.held.keys()];
    const start = this.digestStart < keys.length ? this.digestStart : 0;
    this.digestStart = start + MAX_DIGEST_KEYS;
    return keys
      .slice(start, start + MAX_DIGEST_KEYS)
      .map(key => ({ key, version: this.version(key) }));
  }

  /** The entries of a peer's digest that are newer than what is held here, with the versions held. */
  missingFrom(digest: readonly KeyVersion[]): readonly KeyVersion[] {
    return digest
      .filter(entry => entry.version > this.version(entry.key))
      .map(({ key }) => ({ key, version: this.version(key) }));
  }

  /** Newer versions of the keys in a digest, as small as the peer can use. */
  newerThan(digest: readonly KeyVersion[]): readonly SpreadPatch[] {
    return digest.flatMap(({ key, version }) => {
      const held = this.held.get(key);
      if (held === undefined || held.current.version <= version) return [];
      const canPatch = held.patch.baseVersion === version;
      return [canPatch ? held.patch : wholePatch(held.current)];
    });
  }

  /** Notes that the values held were current at `atMs`. */
  confirm(atMs: number): void {
    if (atMs <= this.confirmedAt) return;
    this.confirmedAt = atMs;
    this.confirmedUntilMs = atMs + FRESH_FOR_MS;
  }

  isFresh(nowMs: number): boolean {
    return nowMs < this.confirmedUntilMs;
  }

  /** Time at which the values were last known to be current, if ever. */
  confirmedAtMs(): number | undefined {
    return Number.isFinite(this.confirmedAt) ? this.confirmedAt : undefined;
  }

  versions(): readonly KeyVersion[] {
    return [...this.held.values()].map(({ current }) => ({
      key: current.key,
      version: current.version,
    }));
  }
}
