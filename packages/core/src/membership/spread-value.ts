import { hash32 } from './rendezvous.js';

/** A value that every daemon holds in its newest version. */
export interface SpreadValue {
  readonly key: string;
  /** Rises with every change of the key. */
  readonly version: number;
  readonly value: string;
}

export interface KeyVersion {
  readonly key: string;
  readonly version: number;
}

/**
 * A version as the change to an earlier one: what lies between a common prefix
 * and a common suffix is replaced. `baseVersion` 0 carries the whole value.
 */
export interface SpreadPatch {
  readonly key: string;
  readonly version: number;
  readonly baseVersion: number;
  /** Length in UTF-16 code units. */
  readonly prefixLength: number;
  /** Length in UTF-16 code units. */
  readonly suffixLength: number;
  readonly inserted: string;
  /** `hash32` of the whole new value. */
  readonly checksum: number;
}

/** The whole value as a patch on nothing. */
export function wholePatch(next: SpreadValue): SpreadPatch {
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

/** The change from `previous` to `next`, found as one replaced range. */
export function diffValues(
  previous: SpreadValue | undefined,
  next: SpreadValue,
): SpreadPatch {
  if (previous === undefined) return wholePatch(next);
  const prefixLength = commonPrefix(previous.value, next.value);
  const suffixLength = commonSuffix(previous.value, next.value, prefixLength);
  return {
    ...wholePatch(next),
    baseVersion: previous.version,
    prefixLength,
    suffixLength,
    inserted: next.value.slice(prefixLength, next.value.length - suffixLength),
  };
}

/** The new value, or undefined where the patch does not fit what is held. */
export function applyPatch(
  held: SpreadValue | undefined,
  patch: SpreadPatch,
): SpreadValue | undefined {
  const base = patch.baseVersion === 0 ? '' : held?.value;
  const isBaseHeld =
    patch.baseVersion === 0 || held?.version === patch.baseVersion;
  if (base === undefined || !isBaseHeld) return undefined;
  const { inserted, prefixLength, suffixLength } = patch;
  const value =
    base.slice(0, prefixLength) +
    inserted +
    base.slice(base.length - suffixLength);
  if (hash32(value) !== patch.checksum) return undefined;
  return { key: patch.key, version: patch.version, value };
}

function commonPrefix(left: string, right: string): number {
  const limit = Math.min(left.length, right.length);
  let length = 0;
  while (length < limit && left[length] === right[length]) length += 1;
  return length;
}

function commonSuffix(left: string, right: string, prefix: number): number {
  const limit = Math.min(left.length, right.length) - prefix;
  let length = 0;
  while (length < limit && left.at(-1 - length) === right.at(-1 - length)) {
    length += 1;
  }
  return length;
}
