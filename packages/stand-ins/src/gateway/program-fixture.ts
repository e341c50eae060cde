import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { EventEmitter, once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { connect } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import { request } from 'undici';

import type { Settings } from '@skylarkreach/daemon';
import { LogLevel } from '@skylarkreach/daemon';
import type { SampleConfigurationOptions } from '@skylarkreach/platform/stand-ins';
import {
  CloudServer,
  EndpointServer,
  sampleCall,
  StoreServer,
} from '@skylarkreach/platform/stand-ins';

import { ANY_PORT, daemonSettings } from '../deployment/index.js';
import { rawRequest, waitUntil } from './gateway-fixture.js';

const PROGRAM = fileURLToPath(
  new URL(
    '../bin/skylarkreachd.mjs',
    import.meta.resolve('@skylarkreach/daemon'),
  ),
);
/** Streams of 3 s, longer than the load balancer takes to notice a stop. */
const STREAM = { events: 10, eventGapMs: 300 };
/** Address at which nothing listens. */
const NOBODY = '127.0.0.1:9';
const LISTEN = {
  callers: ANY_PORT,
  readiness: ANY_PORT,
  operators: ANY_PORT,
  peers: ANY_PORT,
  metrics: ANY_PORT,
};

/** Sections of a gateway's settings that a test changes. */
export interface GatewaySections {
  readonly listen?: Partial<typeof LISTEN>;
  readonly bounds?: Readonly<Record<string, number>>;
  readonly callers?: Readonly<Record<string, number>>;
  readonly queue?: { readonly isEnabled: boolean };
}

/** Process that runs the daemon's program. */
export class Program {
  /** What it has written to its standard output and error. */
  output = '';
  /** Resolves with the exit code and the signal that ended it. */
  readonly exited: Promise<unknown[]>;
  private readonly printed = new EventEmitter();

  constructor(readonly process: ChildProcess) {
    this.exited = once(process, 'exit');
    for (const stream of [process.stdout, process.stderr]) {
      stream?.on('data', (chunk: Buffer) => {
        this.output += chunk.toString();
        this.printed.emit('change');
      });
    }
  }

  /** Resolves with the first group of a pattern once the output matches it. */
  async whenPrinted(pattern: RegExp): Promise<string> {
    for (;;) {
      const match = pattern.exec(this.output);
      if (match !== null) return match[1] ?? '';
      await once(this.printed, 'change');
    }
  }

  /** Resolves with the address for callers once it is bound. */
  callers(): Promise<string> {
    return this.whenPrinted(/"callers":"([^"]+)"/);
  }

  /** Resolves once a request is answered, with the address for callers. */
  async whenServing(): Promise<string> {
    const callers = await this.callers();
    let status = 0;
    for (let number = 1; status !== 200; number += 1) {
      const { headers, path } = sampleCall(`first-${number}`, 8_000, true);
      const response = await request(`http://${callers}${path}`, { headers });
      status = response.statusCode;
      await response.body.dump();
    }
    return callers;
  }
}

/** Stream on a connection of its own, and what has been received of it. */
export class StreamCall {
  received = '';
  readonly closed: Promise<unknown>;

  constructor(callers: string, deadlineMs = 8_000) {
    const [host, port] = callers.split(':');
    const socket = connect(Number(port), host);
    socket.on('data', chunk => {
      this.received += chunk.toString('latin1');
    });
    socket.on('error', () => undefined); // a reset shows in what is missing
    this.closed = once(socket, 'close');
    socket.write(rawRequest(sampleCall('request-1', deadlineMs, true)));
  }

  async whenBegun(): Promise<void> {
    await waitUntil(() => this.received.includes('id: 1'));
  }
}

/** Starts processes of the daemon's program before a platform with one engine. */
export class ProgramFixture {
  readonly engine = new EndpointServer({ ...STREAM, id: 'engine-1' });
  private readonly store = new StoreServer();
  private readonly cloud = new CloudServer();
  private readonly folder = mkdtempSync(join(tmpdir(), 'skylarkreach-'));
  private readonly settingsFile = join(this.folder, 'settings.yaml');
  private readonly programs: Program[] = [];

  async start(): Promise<void> {
    this.store.configure(1);
    this.store.register('engine-1', 'engines', await this.engine.listen());
    const platform = {
      storeAddress: await this.store.listen(),
      cloudAddress: await this.cloud.listen(),
    };
    this.gatewaySettings = { ...this.gatewaySettings, platform };
    this.configureGateway({});
  }

  destroy(): void {
    this.killAll();
    this.engine.destroy();
    this.store.destroy();
    this.cloud.destroy();
    rmSync(this.folder, { recursive: true });
  }

  /** Writes the settings of a gateway. */
  configureGateway({ listen, bounds, callers, queue }: GatewaySections): void {
    this.configure({
      gateway: {
        ...this.gatewaySettings,
        listen: { ...LISTEN, ...listen },
        ...(bounds && { bounds }),
        ...(callers && { callers }),
        ...(queue && { queue }),
      },
    });
  }

  /** Writes the settings of a daemon that is no gateway and reaches no platform. */
  configureDaemon(
    listen: Partial<Settings['listen']>,
    callers?: Settings['callers'],
  ): void {
    const settings = daemonSettings({
      identity: { daemonId: 'daemon-1', dataCentre: 'north-1' },
      keyValueAddress: NOBODY,
      cloudAddress: NOBODY,
      logLevel: LogLevel.Info,
      services: [],
      workspaceTokens: {},
    });
    this.configure({
      ...settings,
      listen: { ...settings.listen, ...listen },
      ...(callers && { callers }),
    });
  }

  private configure(settings: unknown): void {
    // JSON is a subset of YAML.
    writeFileSync(this.settingsFile, JSON.stringify(settings));
  }

  /** Lists an endpoint of a service; the lookups of the sample configuration go to `lookupsService` from then on. */
  listEndpoint(service: string, address: string, lookupsService: string): void {
    this.store.configure(2, { lookupsService });
    this.store.register(`${service}-1`, service, address, { Slots: 1_000 });
  }

  /** Stores a configuration of the platform with other limits for callers. */
  configureLimits(options: SampleConfigurationOptions): void {
    this.store.configure(3, options);
  }

  /** Starts the program; `module` is the text of a module that is run before it, `flags` are those of Node.js. */
  run(module = '', flags: readonly string[] = []): Program {
    const preload = `data:text/javascript,${encodeURIComponent(module)}`;
    const program = new Program(
      spawn(
        process.execPath,
        [
          ...flags,
          '--import',
          preload,
          PROGRAM,
          '--settings',
          this.settingsFile,
        ],
        { stdio: ['ignore', 'pipe', 'pipe'] },
      ),
    );
    this.programs.push(program);
    return program;
  }

  killAll(): void {
    for (const program of this.programs.splice(0))
      program.process.kill('SIGKILL');
  }

  private gatewaySettings: object = {
    identity: {
      daemonId: 'daemon-1',
      dataCentre: 'north-1',
      isFirstStart: true,
    },
    peerSecret: 'a secret of the test',
  };
}
