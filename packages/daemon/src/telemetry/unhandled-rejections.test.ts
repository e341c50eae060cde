import assert from 'node:assert/strict';
import { EventEmitter } from 'node:events';
import { describe, it } from 'node:test';

import { noopLog, noopMetrics } from '@skylarkreach/core/ports';

import { surviveUnhandledRejections } from './unhandled-rejections.js';

describe('surviveUnhandledRejections', () => {
  it('logs and counts a rejection, whatever was thrown', () => {
    const process = new EventEmitter();
    const errors: unknown[] = [];
    let count = 0;
    surviveUnhandledRejections(
      process,
      {
        ...noopLog,
        error: (_part, _message, fields) => errors.push(fields?.error),
      },
      {
        ...noopMetrics,
        increment: () => {
          count += 1;
        },
      },
    );
    process.emit('unhandledRejection', new TypeError('not a list'));
    process.emit('unhandledRejection', undefined);
    assert.match(String(errors[0]), /not a list/);
    assert.equal(errors[1], 'undefined');
    assert.equal(count, 2);
  });
});
