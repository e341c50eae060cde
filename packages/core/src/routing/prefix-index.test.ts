import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { BLOCK_TOKENS, CacheEventKind } from '../ports/index.js';
import { PrefixIndex } from './prefix-index.js';

const ADDRESS = '10.0.0.1:8000';
const BLOCKS = ['a', 'b', 'c', 'd'];
const PROMPT_TOKENS = BLOCKS.length * BLOCK_TOKENS;

function stored(sequence: number, blockHashes: readonly string[]) {
  return { sequence, kind: CacheEventKind.Stored, blockHashes };
}

describe('PrefixIndex', () => {
  it('counts cached tokens up to the first evicted block', () => {
    const index = new PrefixIndex();
    const evicted = {
      sequence: 2,
      kind: CacheEventKind.Evicted,
      blockHashes: ['c'],
    };
    index.applyEvents(ADDRESS, [stored(1, BLOCKS), evicted]);
    assert.equal(index.cachedTokens(ADDRESS, BLOCKS), 2 * BLOCK_TOKENS);
    assert.equal(index.lastEvictorOf('c'), ADDRESS);
  });

  it('counts blocks at a lower weight after a skipped sequence number until a resync', () => {
    const index = new PrefixIndex();
    index.applyEvents(ADDRESS, [stored(1, BLOCKS)]);
    index.applyEvents(ADDRESS, [stored(3, ['other'])]);
    assert.ok(index.cachedTokens(ADDRESS, BLOCKS) < PROMPT_TOKENS);
    assert.ok(index.cachedTokens(ADDRESS, BLOCKS) > 0);
    index.applyEvents(ADDRESS, [
      stored(1, BLOCKS),
      stored(2, []),
      stored(3, []),
    ]);
    assert.equal(index.cachedTokens(ADDRESS, BLOCKS), PROMPT_TOKENS);
  });

  it('counts blocks in full again when a dispatch confirms them after a gap', () => {
    const index = new PrefixIndex();
    index.applyEvents(ADDRESS, [stored(1, BLOCKS)]);
    const gap = { sequence: 9, kind: CacheEventKind.Gap, blockHashes: [] };
    index.applyEvents(ADDRESS, [gap]);
    index.addBlocks(ADDRESS, BLOCKS);
    assert.equal(index.cachedTokens(ADDRESS, BLOCKS), PROMPT_TOKENS);
  });

  it('stays within its bound and drops the oldest blocks first', () => {
    const index = new PrefixIndex(100);
    for (let block = 0; block < 1_000; block += 1) {
      index.addBlocks(ADDRESS, [`block-${block}`]);
    }
    assert.equal(index.blockCount, 100);
    assert.equal(index.cachedTokens(ADDRESS, ['block-0']), 0);
    assert.equal(index.cachedTokens(ADDRESS, ['block-999']), BLOCK_TOKENS);
  });

  it('removes all state of an endpoint', () => {
    const index = new PrefixIndex();
    index.addBlocks(ADDRESS, BLOCKS);
    index.removeEndpoint(ADDRESS);
    assert.equal(index.blockCount, 0);
    assert.deepEqual(index.holders(BLOCKS, 4), []);
  });
});
