import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, readFileSync, writeFileSync } from 'node:fs';
import type { Server } from 'node:http';
import { createServer } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';

import { runProgram } from './program.js';

const RULES_TEXT = 'kind=lookup target=model # desk, phones\n';

/** Responses of the operators' port, keyed by method and path. */
type ScriptedResponses = Record<string, { status: number; body: unknown }>;

describe('runProgram', () => {
  const printed: string[] = [];
  let server: Server;
  let responses: ScriptedResponses = {};
  let bodies: string[] = [];
  const originalConsole = { log: console.log, error: console.error };

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
        const scripted = responses[key] ?? { status: 404, body: {} };
        response.writeHead(scripted.status).end(JSON.stringify(scripted.body));
      });
    });
    await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  });

  afterEach(() => {
    console.log = originalConsole.log;
    console.error = originalConsole.error;
    process.exitCode = 0;
    server.close();
    server.closeAllConnections();
  });

  async function runCommand(...words: string[]): Promise<number> {
    process.exitCode = 0;
    const bound = server.address();
    const port = typeof bound === 'object' ? (bound?.port ?? 0) : 0;
    const address = ['--address', `127.0.0.1:${port}`];
    await runProgram(['node', 'skylarkreach', ...words, ...address]);
    return process.exitCode;
  }

  function writeTempRuleFile(text: string): string {
    const file = join(mkdtempSync(join(tmpdir(), 'rules-')), 'rules.txt');
    writeFileSync(file, text);
    return file;
  }

  it('checks a rule file and exits 1 if it has faults', async () => {
    assert.equal(
      await runCommand('rules', 'check', writeTempRuleFile(RULES_TEXT)),
      0,
    );
    assert.equal(
      await runCommand('rules', 'check', writeTempRuleFile('kind=lookup\n')),
      1,
    );
    assert.match(printed.at(-1) ?? '', /rules\.txt:1:12: error/);
  });

  it('sends an edit with the base stored beside the rule file', async () => {
    const file = writeTempRuleFile('');
    responses = {
      'GET /v1/rules': { status: 200, body: { revision: 4, text: RULES_TEXT } },
      'PUT /v1/rules': {
        status: 200,
        body: { outcome: 'applied', revision: 5, conflicts: [], faults: [] },
      },
    };
    assert.equal(await runCommand('rules', 'show', '--out', file), 0);
    const edited = `${RULES_TEXT}kind=posting target=ledger # finance, once\n`;
    writeFileSync(file, edited);
    assert.equal(await runCommand('rules', 'apply', file), 0);
    const sent = bodies.find(body => body !== '');
    assert.deepEqual(
      { ...(JSON.parse(sent ?? '') as object), editId: '' },
      { editId: '', text: edited, baseRevision: 4, baseText: RULES_TEXT },
    );
  });

  it('derives the same id for a repeated edit and a new id for a changed one', async () => {
    const file = writeTempRuleFile(RULES_TEXT);
    const body = { outcome: 'unknown', revision: 0, conflicts: [], faults: [] };
    responses = {
      'GET /v1/rules': { status: 200, body: { revision: 0, text: '' } },
      'PUT /v1/rules': { status: 502, body },
    };
    assert.equal(await runCommand('rules', 'apply', file), 1);
    assert.equal(await runCommand('rules', 'apply', file), 1);
    writeFileSync(file, `${RULES_TEXT}# a note\n`);
    assert.equal(await runCommand('rules', 'apply', file), 1);
    const ids = bodies
      .filter(sent => sent !== '')
      .map(sent => (JSON.parse(sent) as { editId: string }).editId);
    assert.equal(ids.length, 3);
    assert.equal(ids[0], ids[1]);
    assert.notEqual(ids[1], ids[2]);
  });

  it('prints both texts of a conflict and leaves the file unchanged', async () => {
    const file = writeTempRuleFile(RULES_TEXT);
    const conflict = { line: 1, baseText: 'a', currentText: 'b' };
    responses = {
      'GET /v1/rules': { status: 200, body: { revision: 1, text: RULES_TEXT } },
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
    assert.equal(await runCommand('rules', 'apply', file), 1);
    assert.match(
      printed.at(-1) ?? '',
      /in force: b\n {2}yours: {4}\(removed\)/,
    );
    assert.equal(readFileSync(file, 'utf8'), RULES_TEXT);
  });

  it('changes nothing if lines would be removed and no terminal can confirm', async () => {
    responses = {
      'GET /v1/rules': { status: 200, body: { revision: 1, text: RULES_TEXT } },
    };
    assert.equal(await runCommand('rules', 'apply', writeTempRuleFile('')), 1);
    assert.ok(bodies.every(body => body === ''));
  });

  it('names the daemons that lag behind the revision at the timeout', async () => {
    responses = {
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
    assert.equal(
      await runCommand(
        'rules',
        'apply',
        writeTempRuleFile(RULES_TEXT),
        ...flags,
      ),
      1,
    );
    assert.match(printed.at(-1) ?? '', /not yet reported by entry-2/);
  });

  it('starts, stops, shows and waits for a move through the operators’ port', async () => {
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
    responses = {
      'POST /v1/moves': { status: 200, body: { warnings: [], record: move } },
      'DELETE /v1/moves/model': { status: 200, body: move },
      'GET /v1/moves': { status: 200, body: { moves: [move] } },
    };
    assert.equal(await runCommand('moves', 'start', 'group=model'), 0);
    assert.deepEqual(bodies, ['group=model']);
    assert.equal(await runCommand('moves', 'stop', 'model', '--yes'), 0);
    assert.equal(await runCommand('moves', 'show'), 0);
    assert.equal(await runCommand('moves', 'wait', 'model'), 4);
  });

  it('exits 2 for an option that the command does not have', async () => {
    responses = { 'GET /v1/status': { status: 200, body: {} } };
    assert.equal(await runCommand('status', '--bogus'), 2);
    assert.match(printed.at(-1) ?? '', /--bogus/);
    assert.equal(await runCommand('status', '--json'), 0);
  });

  it('exits 2 for a command that does not exist or lacks an argument', () => {
    const main = fileURLToPath(new URL('main.js', import.meta.url));
    for (const words of [['rules', 'shw'], ['rules', 'check'], []]) {
      const { status } = spawnSync(process.execPath, [main, ...words]);
      assert.equal(status, 2);
    }
  });

  it('exits 3 if the daemon cannot be reached', async () => {
    server.close();
    assert.equal(await runCommand('status'), 3);
  });
});
