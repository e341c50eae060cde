/** Request counts of both versions in one time block, and how many of them had the tested event. */
export interface SampleBlock {
  readonly newCount: number;
  readonly newEvents: number;
  readonly oldCount: number;
  readonly oldEvents: number;
}

export type MutableSampleBlock = {
  -readonly [Key in keyof SampleBlock]: number;
};

export const EMPTY_BLOCK: SampleBlock = {
  newCount: 0,
  newEvents: 0,
  oldCount: 0,
  oldEvents: 0,
};

/** Returns a mutable block with all counts at 0. */
export function createSampleBlock(): MutableSampleBlock {
  return { ...EMPTY_BLOCK };
}

/** Returns the sum of two blocks. */
export function addBlocks(left: SampleBlock, right: SampleBlock): SampleBlock {
  return {
    newCount: left.newCount + right.newCount,
    newEvents: left.newEvents + right.newEvents,
    oldCount: left.oldCount + right.oldCount,
    oldEvents: left.oldEvents + right.oldEvents,
  };
}
