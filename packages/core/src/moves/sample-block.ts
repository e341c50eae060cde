/** Requests of both versions in one span of time, and those that showed an event. */
export interface SampleBlock {
  readonly newCount: number;
  readonly newEvents: number;
  readonly oldCount: number;
  readonly oldEvents: number;
}

export type MutableBlock = { -readonly [Name in keyof SampleBlock]: number };

export const EMPTY_BLOCK: SampleBlock = {
  newCount: 0,
  newEvents: 0,
  oldCount: 0,
  oldEvents: 0,
};

/** A block without requests, to be counted in. */
export function emptyBlock(): MutableBlock {
  return { ...EMPTY_BLOCK };
}

/** Sum of two blocks. */
export function addBlocks(left: SampleBlock, right: SampleBlock): SampleBlock {
  return {
    newCount: left.newCount + right.newCount,
    newEvents: left.newEvents + right.newEvents,
    oldCount: left.oldCount + right.oldCount,
    oldEvents: left.oldEvents + right.oldEvents,
  };
}
