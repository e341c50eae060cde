import assert from 'node:assert/strict';
import { describe, it } from 'node:test';

import fc from 'fast-check';

import type { EngineEvent } from '../ports/index.js';
import { EngineEventKind, FinishReason } from '../ports/index.js';
import { AnswerAssembler } from './answer-assembler.js';

const SEED = 4;
const STREAM = 'request-1.1';
const TOKENS = Array.from({ length: 12 }, (_, index) => `${index % 3}`);
const ANSWER = TOKENS.join('');

function chunk(from: number, to: number, streamId = STREAM): EngineEvent {
  return {
    kind: EngineEventKind.Chunk,
    streamId,
    tokenOffset: from,
    tokens: to - from,
    text: TOKENS.slice(from, to).join(''),
  };
}

function finish(streamId = STREAM): EngineEvent {
  return {
    kind: EngineEventKind.Finish,
    streamId,
    reason: FinishReason.Stop,
    totalTokens: TOKENS.length,
    promptTokens: 1,
    cachedTokens: 0,
  };
}

/** Events of one attempt in any order, duplicated, split anywhere and mixed with events of another attempt. */
const anyEvent = fc
  .tuple(fc.nat(11), fc.integer({ min: 1, max: 12 }), fc.boolean(), fc.nat(9))
  .map(([from, tokens, isOtherStream, kind]) => {
    const streamId = isOtherStream ? 'request-2.1' : STREAM;
    return kind === 0
      ? finish(streamId)
      : chunk(from, Math.min(12, from + tokens), streamId);
  });

function textOf(events: readonly EngineEvent[]): string {
  return events
    .map(event => (event.kind === EngineEventKind.Chunk ? event.text : ''))
    .join('');
}

describe('AnswerAssembler', () => {
  it('emits a prefix of the answer, in order and without repetition', () => {
    const anyEvents = fc.array(anyEvent, { maxLength: 40 });
    const check = fc.property(anyEvents, events => {
      const assembler = new AnswerAssembler();
      assembler.beginAttempt(STREAM);
      const emitted = events.flatMap(event => assembler.accept(event));
      assert.equal(textOf(emitted), ANSWER.slice(0, assembler.nextTokenOffset));
      assert.equal(assembler.text, textOf(emitted));
      const finishes = emitted.filter(
        event => event.kind === EngineEventKind.Finish,
      );
      assert.equal(finishes.length, assembler.isFinished ? 1 : 0);
      if (assembler.isFinished) assert.equal(textOf(emitted), ANSWER);
    });
    fc.assert(check, { seed: SEED, numRuns: 1_000 });
  });

  it('completes the answer once the missing part is sent again', () => {
    const anyEvents = fc.array(anyEvent, { maxLength: 40 });
    const check = fc.property(anyEvents, events => {
      const assembler = new AnswerAssembler();
      assembler.beginAttempt(STREAM);
      const emitted = events.flatMap(event => [...assembler.accept(event)]);
      emitted.push(...assembler.accept(chunk(assembler.nextTokenOffset, 12)));
      emitted.push(...assembler.accept(finish()));
      assert.equal(textOf(emitted), ANSWER);
      assert.equal(assembler.isFinished, true);
    });
    fc.assert(check, { seed: SEED, numRuns: 1_000 });
  });

  it('buffers chunks after a gap and reports the gap', () => {
    const assembler = new AnswerAssembler();
    assembler.beginAttempt(STREAM);
    assert.deepEqual(assembler.accept(chunk(2, 4)), []);
    assert.equal(assembler.hasGap, true);
    assert.equal(textOf(assembler.accept(chunk(0, 2))), ANSWER.slice(0, 4));
    assert.equal(assembler.hasGap, false);
  });

  it('drops a late chunk of an abandoned attempt', () => {
    const assembler = new AnswerAssembler();
    assembler.beginAttempt(STREAM);
    assembler.accept(chunk(0, 2));
    assembler.beginAttempt('request-1.2');
    assert.deepEqual(assembler.accept(chunk(2, 4)), []);
    assert.equal(assembler.nextTokenOffset, 2);
  });

  it('continues after the text that the caller already has', () => {
    const assembler = new AnswerAssembler(ANSWER.slice(0, 5), 5);
    assembler.beginAttempt(STREAM);
    assert.deepEqual(assembler.accept(chunk(3, 5)), []);
    assert.equal(textOf(assembler.accept(chunk(5, 12))), ANSWER.slice(5));
  });
});
