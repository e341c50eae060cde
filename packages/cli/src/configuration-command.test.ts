import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, truncateSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { sampleConfiguration } from '@skylarkreach/platform/stand-ins';

import { runProgram } from './program.js';

const OVERSIZE_BYTES = 16 * 1_024 * 1_024 + 1;
const CONTRADICTION = { headerTimeoutMs: 2_000, idleTimeoutMs: 1_000 };

describe('skylarkreach check', () => {
  const originalConsole = { log: console.log, error: console.error };
  let printed: string[] = [];
  let folder = '';

  beforeEach(() => {
    printed = [];
    folder = mkdtempSync(join(tmpdir(), 'check-'));
    console.log = console.error = (text: string) => printed.push(text);
    // The command calls no daemon, so it needs no credential.
    delete process.env.SKYLARKREACH_TOKEN;
  });

  afterEach(() => {
    Object.assign(console, originalConsole);
    process.exitCode = 0;
    rmSync(folder, { recursive: true });
  });

  function writeSample(name: string, text: string): string {
    const file = join(folder, name);
    writeFileSync(file, text);
    return file;
  }

  async function runCheck(...words: string[]) {
    process.exitCode = 0;
    await runProgram(['node', 'skylarkreach', 'check', ...words]);
    return process.exitCode;
  }

  it('exits 0 for differences alone and 1 for findings', async () => {
    const inForce = writeSample('old.json', sampleConfiguration(1));
    const options = { plainTimeoutMs: 1_600 };
    const next = writeSample('next.json', sampleConfiguration(2, options));
    assert.equal(await runCheck(next, '--against', inForce), 0);
    assert.match(printed.at(-1) ?? '', /TimeoutMs: 1500 -> 1600/);
    const bad = writeSample('bad.json', sampleConfiguration(2, CONTRADICTION));
    assert.equal(await runCheck(bad), 1);
    assert.match(printed.at(-1) ?? '', /bad\.json:1:\d+: contradiction: /);
  });

  it('prints one object with --json', async () => {
    const bad = writeSample('bad.json', sampleConfiguration(2, CONTRADICTION));
    assert.equal(await runCheck(bad, '--json'), 1);
    const report = JSON.parse(printed.join('\n')) as Record<string, unknown[]>;
    const counts = Object.entries(report).map(([key, { length }]) => [
      key,
      length,
    ]);
    assert.deepEqual(counts, [
      ['errors', 0],
      ['warnings', 2],
      ['unreachable', 0],
      ['contradictions', 1],
      ['differences', 0],
    ]);
  });

  it('compares home regions with those of the command line', async () => {
    const options = { allowedRegions: ['north'] };
    const file = writeSample('a.json', sampleConfiguration(1, options));
    assert.equal(await runCheck(file, '--regions', 'south, north'), 0);
    assert.equal(await runCheck(file, '--regions', 'south'), 1);
  });

  it('exits 2 if a file cannot be read or an option lacks its value', async () => {
    const file = writeSample('a.json', sampleConfiguration(1));
    const broken = writeSample('broken.json', '{}');
    const missing = join(folder, 'missing.json');
    assert.equal(await runCheck(missing), 2);
    assert.equal(await runCheck(folder), 2);
    assert.equal(await runCheck(file, '--against', missing), 2);
    assert.equal(await runCheck(file, '--against', broken), 2);
    assert.equal(await runCheck(file, '--against'), 2);
  });

  it('reports a file that is too large as one error', async () => {
    const file = writeSample('large.json', '');
    truncateSync(file, OVERSIZE_BYTES);
    assert.equal(await runCheck(file), 1);
    assert.match(
      printed.at(-1) ?? '',
      /large\.json:1:1: error: 16777217 bytes/,
    );
  });
});
