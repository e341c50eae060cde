import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import {
  setImmediate as nextPoll,
  setTimeout as delay,
} from 'node:timers/promises';

import type { Address } from '@skylarkreach/core/ports';

import type { SoakSettings } from './soak-variant.js';

export const GRACE_PERIOD_SECONDS = 6;
const READY_TIMEOUT_MS = 15_000;
const POLL_INTERVAL_MS = 50;
const SHOWN_LINES = 5;
/** Time by which a process may end later than its grace period before it is killed. */
const LATE_END_MS = 500;
const MS_PER_SECOND = 1_000;
const NS_PER_MS = 1e6;
/** Ports that the system takes for no outgoing connection. */
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;
let nextPort = FIRST_PORT + ((process.pid * 61) % (LAST_PORT - FIRST_PORT));

type ListenName = 'callers' | 'readiness' | 'operators' | 'peers' | 'metrics';

/** How a process that was asked to stop ended. */
export enum StopEnd {
  InTime = 'inTime',
  /** It had to be killed, or ended late. */
  Overdue = 'overdue',
}

export interface PlatformAddresses {
  readonly storeAddress: Address;
  readonly cloudAddress: Address;
}

/** Gateway daemon as a process of its own. Each start is a new process with the same addresses. */
export class DaemonProcess {
  /** Lines of its logs, of all its processes. */
  readonly lines: string[] = [];
  private readonly folder = mkdtempSync(join(tmpdir(), 'skylarkreach-soak-'));
  private process: ChildProcess | undefined;
  private ended: Promise<unknown> = Promise.resolve();

  private constructor(
    private readonly program: string,
    readonly id: string,
    private readonly listen: Readonly<Record<ListenName, Address>>,
    private readonly platform: PlatformAddresses,
    private readonly settings: SoakSettings,
  ) {}

  /** Prepares a daemon that runs the given program, and does not start it. */
  static async create(
    program: string,
    daemonId: string,
    platform: PlatformAddresses,
    settings: SoakSettings = {},
  ): Promise<DaemonProcess> {
    const listen = {
      callers: await freeAddress(),
      readiness: await freeAddress(),
      operators: await freeAddress(),
      peers: await freeAddress(),
      metrics: await freeAddress(),
    };
    return new DaemonProcess(program, daemonId, listen, platform, settings);
  }

  get callersAddress(): Address {
    return this.listen.callers;
  }

  /** Starts a process and resolves once it is ready. */
  async start(): Promise<void> {
    this.writeSettings({});
    const child = spawn(
      process.execPath,
      [this.program, '--settings', this.settingsFile],
      { stdio: ['ignore', 'pipe', 'pipe'] },
    );
    this.process = child;
    this.ended = new Promise(resolve => child.once('close', resolve));
    for (const input of [child.stdout, child.stderr])
      createInterface({ input }).on('line', line => this.lines.push(line));
    const deadlineAtMs = performance.now() + READY_TIMEOUT_MS;
    while (!(await this.isReady())) {
      if (this.hasEnded || performance.now() > deadlineAtMs) {
        const last = this.lines.slice(-SHOWN_LINES).join('\n');
        throw new Error(
          `${this.id} is not ready (${child.signalCode}): ${last}`,
        );
      }
      await delay(POLL_INTERVAL_MS);
    }
  }

  async isReady(): Promise<boolean> {
    const response = fetch(`http://${this.listen.readiness}/ready`, {
      signal: AbortSignal.timeout(MS_PER_SECOND),
    });
    return (await response.catch(() => undefined))?.status === 200;
  }

  /** Time for which the process has waited for a processor. */
  processorWaitMs(): number {
    try {
      const text = readFileSync(
        `/proc/${this.process?.pid ?? 0}/schedstat`,
        'utf8',
      );
      return Number(text.split(' ')[1]) / NS_PER_MS;
    } catch {
      return 0; // the process has ended
    }
  }

  signal(signal: NodeJS.Signals): void {
    this.process?.kill(signal);
  }

  /** Ends the process by SIGTERM, or by SIGKILL after its grace period. */
  async stop(
    patienceMs = GRACE_PERIOD_SECONDS * MS_PER_SECOND + LATE_END_MS,
  ): Promise<StopEnd> {
    this.signal('SIGTERM');
    const overdueAtMs = Date.now() + patienceMs;
    // What this process has not read while it was held up comes before its timers count.
    const waited = delay(patienceMs, undefined, { ref: false })
      .then(() => nextPoll())
      .then(() => nextPoll());
    await Promise.race([this.ended, waited]);
    if (!this.hasEnded) {
      await this.kill();
      return StopEnd.Overdue;
    }
    await this.ended;
    return this.lastLineAtMs() > overdueAtMs ? StopEnd.Overdue : StopEnd.InTime;
  }

  async kill(): Promise<void> {
    this.signal('SIGKILL');
    await this.ended;
  }

  /** Changes a setting and tells the process. */
  reload(repeatSlack: number): void {
    this.writeSettings({ repeatSlack });
    this.signal('SIGHUP');
  }

  async destroy(): Promise<void> {
    await this.kill();
    rmSync(this.folder, { recursive: true });
  }

  private get hasEnded(): boolean {
    const child = this.process;
    return child?.exitCode !== null || child.signalCode !== null;
  }

  /** Time of day of its last log line. */
  private lastLineAtMs(): number {
    const timesMs = this.lines.map(line => /"time":(\d+)/.exec(line)?.[1] ?? 0);
    return Math.max(0, ...timesMs.map(Number));
  }

  private get settingsFile(): string {
    return join(this.folder, 'settings.yaml');
  }

  private writeSettings(bounds: { readonly repeatSlack?: number }): void {
    const { id: daemonId, listen, platform, settings } = this;
    const gateway = {
      identity: { daemonId, dataCentre: 'north-1', isFirstStart: true },
      listen,
      platform,
      peerSecret: 'a secret of the process soak',
      ...settings,
      bounds: {
        gracePeriodSeconds: GRACE_PERIOD_SECONDS,
        ...settings.bounds,
        ...bounds,
      },
    };
    // JSON is a subset of YAML.
    writeFileSync(this.settingsFile, JSON.stringify({ gateway }));
  }
}

/** Returns an address whose port no outgoing connection takes while the process is down. */
async function freeAddress(): Promise<Address> {
  for (;;) {
    nextPort = nextPort < LAST_PORT ? nextPort + 1 : FIRST_PORT;
    const address = { host: '127.0.0.1', port: nextPort };
    const server = createServer();
    const isFree = await new Promise<boolean>(resolve => {
      server.once('error', () => {
        resolve(false);
      });
      server.listen(address, () => {
        resolve(true);
      });
    });
    if (!isFree) continue;
    await new Promise(resolve => server.close(resolve));
    return `${address.host}:${address.port}`;
  }
}
