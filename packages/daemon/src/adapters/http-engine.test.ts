import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import { PlatformError } from '@skylarkreach/core/ports';

import type { HttpClient } from './http-client.js';
import { HttpEngine } from './http-engine.js';

const ADDRESS = '10.0.0.1:80';

describe('HttpEngine', () => {
  it('takes a malformed answer for a failure of its engine alone', async () => {
    for (const answer of [undefined, null, [], {}, { running: 'x' }, 1]) {
      const http = { sendJson: () => Promise.resolve(answer) };
      const engine = new HttpEngine(http as unknown as HttpClient);
      const calls = [
        engine.load(ADDRESS, 0),
        engine.cacheEvents(ADDRESS, 0, 0),
        engine.inventory(ADDRESS, 0),
      ];
      for (const call of calls) await assert.rejects(call, PlatformError);
    }
  });
});
