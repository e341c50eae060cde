import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';

import { runProgram } from './program.js';

const TEXT = 'kind=lookup target=model # desk, phones\n';

/** Answers of the operators' port, by method and path. */
type Answers = Record<string, { status: number; body: unknown }>;

describe('the command line', () => {
  const printed: string[] = [];
  let server: Server;
  let answers: Answers = {};
  let bodies: string[] = [];
  const original = { log: console.log, error: console.error };

  beforeEach(async () => {
    printed.length = 0;
    bodies = [];
    console.log = console.error = (text: string) => printed.push(text);
    process.env.SKYLARKREACH_TOKEN = 'operator-token';
    server = createServer((request, response) => {
      let body = '';
      request.on('data', (chunk: Buffer) => (body += chunk.toString()));
      request.on('end', () => {
        bodies.push(body);
        const key = `${request.method ?? ''} ${request.url ?? ''}`;
        const answer = answers[key] ?? { status: 404, body: {} };
        response.writeHead(answer.status).end(JSON.stringify(answer.body));
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  });

  afterEach(() => {
    console.log = original.log;
    console.error = original.error;
    process.exitCode = 0;
    server.close();
    server.closeAllConnections();
  });

  async function run(...words: string[]): Promise<number> {
    process.exitCode = 0;
    const bound = server.address();
    const port = typeof bound === 'object' ? (bound?.port ?? 0) : 0;
    const address = ['--address', `127.0.0.1:${port}`];
    await runProgram(['node', 'skylarkreach', ...words, ...address]);
    return process.exitCode;
  }

  function fileOf(text: string): string {
    const file = join(mkdtempSync(join(tmpdir(), 'rules-')), 'rules.txt');
    writeFileSync(file, text);
    return file;
  }

  it('checks a file and exits 1 where it has faults', async () => {
    assert.equal(await run('rules', 'check', fileOf(TEXT)), 0);
    assert.equal(await run('rules', 'check', fileOf('kind=lookup\n')), 1);
    assert.match(printed.at(-1) ?? '', /rules\.txt:1:12: error/);
  });

  it('sends the edit with the base that the file was read from', async () => {
    const file = fileOf('');
    answers = {
      'GET /v1/rules': { status: 200, body: { revision: 4, text: TEXT } },
      'PUT /v1/rules': {
        status: 200,
        body: { outcome: 'applied', revision: 5, conflicts: [], faults: [] },
      },
    };
    assert.equal(await run('rules', 'show', '--out', file), 0);
    const edited = `${TEXT}kind=posting target=ledger # finance, once\n`;
    writeFileSync(file, edited);
    assert.equal(await run('rules', 'apply', file), 0);
    const sent = bodies.find(body => body !== '');
    assert.deepEqual(
      { ...(JSON.parse(sent ?? '') as object), editId: '' },
      { editId: '', text: edited, baseRevision: 4, baseText: TEXT },
    );
  });

  it('gives a repeated edit the same id and another edit another one', async () => {
    const file = fileOf(TEXT);
    const body = { outcome: 'unknown', revision: 0, conflicts: [], faults: [] };
    answers = {
      'GET /v1/rules': { status: 200, body: { revision: 0, text: '' } },
      'PUT /v1/rules': { status: 502, body },
    };
    assert.equal(await run('rules', 'apply', file), 1);
    assert.equal(await run('rules', 'apply', file), 1);
    writeFileSync(file, `${TEXT}# a note\n`);
    assert.equal(await run('rules', 'apply', file), 1);
    const ids = bodies
      .filter(sent => sent !== '')
      .map(sent => (JSON.parse(sent) as { editId: string }).editId);
    assert.equal(ids.length, 3);
    assert.equal(ids[0], ids[1]);
    assert.notEqual(ids[1], ids[2]);
  });

  it('shows both texts of a conflict and keeps the file', async () => {
    const file = fileOf(TEXT);
    const conflict = { line: 1, baseText: 'a', currentText: 'b' };
    answers = {
      'GET /v1/rules': { status: 200, body: { revision: 1, text: TEXT } },
      'PUT /v1/rules': {
        status: 409,
        body: {
          outcome: 'conflict',
          revision: 2,
          conflicts: [conflict],
          faults: [],
        },
      },
    };
    assert.equal(await run('rules', 'apply', file), 1);
    assert.match(
      printed.at(-1) ?? '',
      /in force: b\n {2}yours: {4}\(removed\)/,
    );
    assert.equal(readFileSync(file, 'utf8'), TEXT);
  });

  it('asks before it removes lines, and without a terminal changes nothing', async () => {
    answers = {
      'GET /v1/rules': { status: 200, body: { revision: 1, text: TEXT } },
    };
    assert.equal(await run('rules', 'apply', fileOf('')), 1);
    assert.ok(bodies.every(body => body === ''));
  });

  it('names the daemons that lag behind the revision', async () => {
    answers = {
      'GET /v1/rules': { status: 200, body: { revision: 1, text: '' } },
      'PUT /v1/rules': {
        status: 200,
        body: { outcome: 'applied', revision: 2, conflicts: [], faults: [] },
      },
      'GET /v1/rules/revisions': {
        status: 200,
        body: { daemons: [{ daemonId: 'entry-2', revision: 1 }] },
      },
    };
    const flags = ['--wait', '--wait-seconds', '0'];
    assert.equal(await run('rules', 'apply', fileOf(TEXT), ...flags), 1);
    assert.match(printed.at(-1) ?? '', /not yet reported by entry-2/);
  });

  it('starts, stops and waits for a move, each by its own call', async () => {
    const spec = {
      moveId: 'move-1',
      group: 'model',
      fromVersion: 'v1',
      toVersion: 'v2',
      deadlineAtMs: 1,
      reason: 'operations, newer weights',
    };
    const ending = { endedAtMs: 1, newRequests: 9, unprovedKinds: [] };
    const move = { spec, state: 'takenBack', shares: [], ending };
    answers = {
      'POST /v1/moves': { status: 200, body: { warnings: [], record: move } },
      'DELETE /v1/moves/model': { status: 200, body: move },
      'GET /v1/moves': { status: 200, body: { moves: [move] } },
    };
    assert.equal(await run('moves', 'start', 'group=model'), 0);
    assert.deepEqual(bodies, ['group=model']);
    assert.equal(await run('moves', 'stop', 'model', '--yes'), 0);
    assert.equal(await run('moves', 'show'), 0);
    assert.equal(await run('moves', 'wait', 'model'), 4);
  });

  it('exits 3 where the daemon cannot be reached', async () => {
    server.close();
    assert.equal(await run('status'), 3);
  });
});
