import { hash32 } from './rendezvous.js';

/** Versioned value that is replicated to every daemon. */
export interface ReplicatedValue {
  readonly key: string;
  /** Increases with every change of the value. */
  readonly version: number;
  readonly value: string;
}

/** Key and version; entry of a digest. */
export interface KeyVersion {
  readonly key: string;
  readonly version: number;
}

/**
 * Difference between a version and an earlier one: the range between a common
 * prefix and a common suffix is replaced. With `baseVersion` 0 the patch carries
 * the full value.
 */
export interface ValuePatch {
  readonly key: string;
  readonly version: number;
  readonly baseVersion: number;
  /** Length in UTF-16 code units. */
  readonly prefixLength: number;
  /** Length in UTF-16 code units. */
  readonly suffixLength: number;
  readonly inserted: string;
  /** `hash32` of the full new value. */
  readonly checksum: number;
}

/** Returns a patch that carries the full value and needs no base. */
export function createFullPatch(next: ReplicatedValue): ValuePatch {
  return {
    key: next.key,
    version: next.version,
    baseVersion: 0,
    prefixLength: 0,
    suffixLength: 0,
    inserted: next.value,
    checksum: hash32(next.value),
  };
}

/** Returns the patch from `previous` to `next` with a single replaced range. */
export function diffValues(
  previous: ReplicatedValue | undefined,
  next: ReplicatedValue,
): ValuePatch {
  if (previous === undefined) return createFullPatch(next);
  const prefixLength = commonPrefixLength(previous.value, next.value);
  const suffixLength = commonSuffixLength(
    previous.value,
    next.value,
    prefixLength,
  );
  return {
    ...createFullPatch(next),
    baseVersion: previous.version,
    prefixLength,
    suffixLength,
    inserted: next.value.slice(prefixLength, next.value.length - suffixLength),
  };
}

/**
 * Returns the patched value, or undefined when the base version or the checksum
 * does not match.
 */
export function applyPatch(
  stored: ReplicatedValue | undefined,
  patch: ValuePatch,
): ReplicatedValue | undefined {
  const base = patch.baseVersion === 0 ? '' : stored?.value;
  const hasBase =
    patch.baseVersion === 0 || stored?.version === patch.baseVersion;
  if (base === undefined || !hasBase) return undefined;
  const { inserted, prefixLength, suffixLength } = patch;
  const value =
    base.slice(0, prefixLength) +
    inserted +
    base.slice(base.length - suffixLength);
  if (hash32(value) !== patch.checksum) return undefined;
  return { key: patch.key, version: patch.version, value };
}

function commonPrefixLength(left: string, right: string): number {
  const limit = Math.min(left.length, right.length);
  let length = 0;
  while (length < limit && left[length] === right[length]) length += 1;
  return length;
}

function commonSuffixLength(
  left: string,
  right: string,
  prefixLength: number,
): number {
  const limit = Math.min(left.length, right.length) - prefixLength;
  let length = 0;
  while (length < limit && left.at(-1 - length) === right.at(-1 - length)) {
    length += 1;
  }
  return length;
}
