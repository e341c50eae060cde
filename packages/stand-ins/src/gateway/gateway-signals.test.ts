import assert from 'node:assert/strict';
import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { request } from 'undici';

import {
  CloudServer,
  EndpointServer,
  sampleCall,
  StoreServer,
} from '@skylarkreach/platform/stand-ins';

import { ANY_PORT } from '../deployment/index.js';
import { rawRequest, waitUntil } from './gateway-fixture.js';

const PROGRAM = fileURLToPath(
  new URL(
    '../bin/skylarkreachd.mjs',
    import.meta.resolve('@skylarkreach/daemon'),
  ),
);
/** Streams of 3 s, longer than the load balancer takes to notice a stop. */
const STREAM = { events: 10, eventGapMs: 300 };
const SIGNAL_GAP_MS = 500;

describe('a daemon process that gets further signals while it stops', () => {
  const store = new StoreServer();
  const cloud = new CloudServer();
  const engine = new EndpointServer({ ...STREAM, id: 'engine-1' });
  const folder = mkdtempSync(join(tmpdir(), 'skylarkreach-'));
  const settingsFile = join(folder, 'settings.yaml');

  before(async () => {
    const platform = {
      storeAddress: await store.listen(),
      cloudAddress: await cloud.listen(),
    };
    store.configure(1);
    store.register('engine-1', 'engines', await engine.listen());
    const gateway = {
      identity: {
        daemonId: 'daemon-1',
        dataCentre: 'north-1',
        isFirstStart: true,
      },
      listen: {
        callers: ANY_PORT,
        readiness: ANY_PORT,
        operators: ANY_PORT,
        peers: ANY_PORT,
        metrics: ANY_PORT,
      },
      platform,
      peerSecret: 'a secret of the test',
    };
    // JSON is a subset of YAML.
    writeFileSync(settingsFile, JSON.stringify({ gateway }));
  });

  after(() => {
    engine.destroy();
    store.destroy();
    cloud.destroy();
    rmSync(folder, { recursive: true });
  });

  /** Starts the program, waits until it serves and returns its address for callers. */
  async function startProgram(): Promise<[ChildProcess, string]> {
    const program = spawn(
      process.execPath,
      [PROGRAM, '--settings', settingsFile],
      { stdio: ['ignore', 'pipe', 'inherit'] },
    );
    let output = '';
    program.stdout.on('data', (chunk: Buffer) => {
      output += chunk.toString();
    });
    const address = () => /"callers":"([^"]+)"/.exec(output)?.[1];
    await waitUntil(() => address() !== undefined);
    const callers = address() ?? '';
    let status = 0;
    for (let number = 1; status !== 200; number += 1) {
      const { headers, path } = sampleCall(`first-${number}`, 8_000, true);
      const response = await request(`http://${callers}${path}`, { headers });
      status = response.statusCode;
      await response.body.dump();
    }
    return [program, callers];
  }

  for (const second of ['SIGTERM', 'SIGINT'] as const) {
    it(`goes on with its answers on SIGTERM and then ${second}`, async () => {
      const [program, callers] = await startProgram();
      try {
        const [host, port] = callers.split(':');
        const socket = connect(Number(port), host);
        let received = '';
        socket.on('data', chunk => {
          received += chunk.toString('latin1');
        });
        socket.on('error', () => undefined); // a reset shows in what is missing
        const closed = once(socket, 'close');
        const exited = once(program, 'exit');
        socket.write(rawRequest(sampleCall('request-1', 8_000, true)));
        await waitUntil(() => received.includes('id: 1'));
        program.kill('SIGTERM');
        await delay(SIGNAL_GAP_MS);
        program.kill(second);
        await closed;
        assert.match(received, /id: 10\n.*\r\n0\r\n\r\n$/s);
        assert.deepEqual(await exited, [0, null]);
      } finally {
        program.kill('SIGKILL');
      }
    });
  }
});
