import { MAX_DIGEST_KEYS } from './messages.js';
import type {
  KeyVersion,
  ReplicatedValue,
  ValuePatch,
} from './replicated-value.js';
import { applyPatch, createFullPatch, diffValues } from './replicated-value.js';

/** Maximum number of replicated keys. */
const MAX_KEYS = 1_024;
/** Time for which values are considered current after a confirmation. */
const CONFIRMATION_VALIDITY_MS = 15_000;

/** Callback for each newer version of a value. */
export type ValueListener = (value: ReplicatedValue) => void;

/** Result of receiving a patch. */
export enum PatchOutcome {
  Applied = 'taken',
  /** The stored version is the same or newer. */
  NotNewer = 'known',
  /** The patch does not apply to the stored version; the full value is needed. */
  NeedsFullValue = 'wanted',
}

interface StoredValue {
  readonly current: ReplicatedValue;
  /** Patch from the previously stored version. */
  readonly patch: ValuePatch;
}

/**
 * Store of the newest version of each replicated value that this process has
 * received. Versions never decrease.
 */
export class ReplicatedValueStore {
  private readonly valuesByKey = new Map<string, StoredValue>();
  private readonly listeners: ValueListener[] = [];
  private nextDigestStart = 0;
  private confirmedUntilMs = 0;
  private lastConfirmedAtMs = Number.NEGATIVE_INFINITY;

  /**
   * `keysOfEveryDigest` come first in every digest, so that a starting daemon
   * gets their values at once and in this order however many other keys there are.
   */
  constructor(private readonly keysOfEveryDigest: readonly string[] = []) {}

  /** Registers a listener that is called with each newer version stored from now on. */
  onValue(listener: ValueListener): void {
    this.listeners.push(listener);
  }

  /**
   * Stores a version. Returns false when it is not newer or the maximum number
   * of keys is reached.
   */
  apply(value: ReplicatedValue): boolean {
    const current = this.valuesByKey.get(value.key)?.current;
    if (current !== undefined && value.version <= current.version) return false;
    if (current === undefined && this.valuesByKey.size >= MAX_KEYS)
      return false;
    const patch = diffValues(current, value);
    this.valuesByKey.set(value.key, { current: value, patch });
    for (const listener of this.listeners) listener(value);
    return true;
  }

  /** Applies a patch to the stored value and stores the result. */
  receivePatch(patch: ValuePatch): PatchOutcome {
    const current = this.valuesByKey.get(patch.key)?.current;
    if (patch.version <= (current?.version ?? 0)) return PatchOutcome.NotNewer;
    const value = applyPatch(current, patch);
    if (value === undefined) return PatchOutcome.NeedsFullValue;
    return this.apply(value) ? PatchOutcome.Applied : PatchOutcome.NotNewer;
  }

  /** Returns the stored version, 0 when the key is not stored. */
  version(key: string): number {
    return this.valuesByKey.get(key)?.current.version ?? 0;
  }

  /** Returns the patch from the previously stored version, for a peer that holds that version. */
  incrementalPatch(key: string): ValuePatch | undefined {
    return this.valuesByKey.get(key)?.patch;
  }

  /** Returns the stored value as a patch that needs no base. */
  fullPatch(key: string): ValuePatch | undefined {
    const value = this.valuesByKey.get(key)?.current;
    return value === undefined ? undefined : createFullPatch(value);
  }

  /**
   * Returns the versions of the keys of every digest and of a bounded range of the
   * others. Successive calls cycle through all keys.
   */
  nextDigest(): readonly KeyVersion[] {
    const first = this.keysOfEveryDigest.filter(key =>
      this.valuesByKey.has(key),
    );
    const others = [...this.valuesByKey.keys()].filter(
      key => !first.includes(key),
    );
    const start =
      this.nextDigestStart < others.length ? this.nextDigestStart : 0;
    const end = start + MAX_DIGEST_KEYS - first.length;
    this.nextDigestStart = end;
    return [...first, ...others.slice(start, end)].map(key => ({
      key,
      version: this.version(key),
    }));
  }

  /** Returns the keys of a peer's digest that are newer there, with the versions stored here. */
  outdatedVersions(digest: readonly KeyVersion[]): readonly KeyVersion[] {
    return digest
      .filter(entry => entry.version > this.version(entry.key))
      .map(({ key }) => ({ key, version: this.version(key) }));
  }

  /**
   * Returns patches for the keys of a digest that are newer here: incremental
   * when the peer holds the base, else full.
   */
  patchesNewerThan(digest: readonly KeyVersion[]): readonly ValuePatch[] {
    return digest.flatMap(({ key, version }) => {
      const stored = this.valuesByKey.get(key);
      if (stored === undefined || stored.current.version <= version) return [];
      const canPatch = stored.patch.baseVersion === version;
      return [canPatch ? stored.patch : createFullPatch(stored.current)];
    });
  }

  /** Records that the stored values were current at `atMs`. */
  confirm(atMs: number): void {
    if (atMs <= this.lastConfirmedAtMs) return;
    this.lastConfirmedAtMs = atMs;
    this.confirmedUntilMs = atMs + CONFIRMATION_VALIDITY_MS;
  }

  /** Returns whether the last confirmation is recent enough to consider the values current. */
  isFresh(nowMs: number): boolean {
    return nowMs < this.confirmedUntilMs;
  }

  /** Returns the time of the last confirmation, or undefined when there was none. */
  confirmedAtMs(): number | undefined {
    return Number.isFinite(this.lastConfirmedAtMs)
      ? this.lastConfirmedAtMs
      : undefined;
  }

  /** Returns the stored version of each key. */
  versions(): readonly KeyVersion[] {
    return [...this.valuesByKey.values()].map(({ current }) => ({
      key: current.key,
      version: current.version,
    }));
  }
}
