/* global URL, console, fetch, performance */
// Starts a small deployment on loopback addresses: the project's stand-ins of the platform, workers of this folder, and
// daemons as processes with the command of the deploy file and the template of its settings.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

export const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const LIBRARY = dirname(fileURLToPath(import.meta.url));
const WAIT_TIMEOUT_MS = 20_000;
/** Ports of a machine, which are the same on all machines; the template fixes the last one, that of the metrics. */
const MACHINE_PORTS = [8_221, 8_224, 8_229, 7_600, 9_464];
const MAX_IP_TRIES = 50;

const standIns = await import(join(ROOT, 'platform/dist/stand-ins/index.js'));

/** Whether the case is played with its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Returns whether a port of an address is free. */
function isFree(host, port) {
  return new Promise(resolve => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** Returns whether something listens on a port. */
function listens(port, host = '127.0.0.1') {
  return new Promise(resolve => {
    const socket = connect({ port, host });
    socket.once('connect', () => {
      socket.destroy();
      resolve(true);
    });
    socket.once('error', () => resolve(false));
  });
}

export async function freePort(host = '127.0.0.1') {
  const server = createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, host, resolve);
  });
  const { port } = server.address();
  await new Promise(resolve => server.close(resolve));
  return port;
}

/** Returns a loopback address of its own for a machine, on which all of its ports are free. */
export async function machineIp() {
  for (let count = 0; count < MAX_IP_TRIES; count += 1) {
    const octets = [1, 2, 3].map(() => 1 + Math.floor(Math.random() * 253));
    const ip = `127.${octets.join('.')}`;
    const checks = MACHINE_PORTS.map(port => isFree(ip, port));
    if ((await Promise.all(checks)).every(each => each)) return ip;
  }
  throw new Error('No loopback address has all ports of a machine free.');
}

export async function waitUntil(condition, description) {
  const deadlineAtMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!(await condition())) {
    if (performance.now() > deadlineAtMs)
      throw new Error(`Timed out waiting until ${description}.`);
    await delay(20);
  }
}

/** What was sent, answered and run, in the order in which it happened. */
export class Record {
  constructor(file) {
    this.file = file;
    this.lines = [];
    this.startedAtMs = performance.now();
  }

  add(text) {
    const atS = ((performance.now() - this.startedAtMs) / 1000).toFixed(3);
    this.lines.push(`${atS.padStart(8)} s  ${text}`);
  }

  write() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/** Small deployment. */
export class Deployment {
  constructor(record, options = {}) {
    this.record = record;
    this.options = options;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.children = new Set();
    this.store = new standIns.StoreServer();
    this.cloud = new standIns.CloudServer();
    this.machines = 0;
  }

  async start() {
    this.storeAddress = await this.store.listen();
    this.cloudAddress = await this.cloud.listen();
  }

  /** Stores a configuration as the operator does. */
  configure(configuration) {
    this.store.state.put('op/config', JSON.stringify(configuration));
    this.record.add(
      `operator: configuration ${configuration.Version} is stored`,
    );
  }

  /** Starts a process that is ended with the deployment. */
  spawn(command, args, options) {
    const child = spawn(command, args, options);
    this.children.add(child);
    child.once('exit', () => this.children.delete(child));
    return child;
  }

  /** Starts a daemon with the command of the deploy file. */
  async startDaemon(name, dataCentre, overrides = {}) {
    const ip = overrides.ip ?? (await machineIp());
    const platform = {
      store: overrides.storeAddress ?? this.storeAddress,
      cloud: overrides.cloudAddress ?? this.cloudAddress,
    };
    const machine = standIns.createMachine(
      ip,
      name,
      platform,
      overrides.seeds ?? [`${ip}:8229`],
    );
    const values = {
      ...machine.values,
      Zone: dataCentre,
      Zones: { 'akl-a': 'nz-north', 'akl-b': 'nz-north', 'ham-a': 'nz-north' },
      'Limits.MemoryMb': 350,
      'Limits.MaxFds': 4100,
      ...this.options.values,
    };
    for (const bound of ['EvacuationMs', 'ColdOverage', 'ColdSlack'])
      delete values[`Bounds.${bound}`];
    const template = readFileSync(
      join(ROOT, 'platform/settings.template'),
      'utf8',
    );
    const settingsFile = join(this.folder, `${name}.yaml`);
    const settings = standIns.renderSettings(
      template,
      { ...machine, values },
      true,
    );
    // The template derives the secret from the store's address, which is one for all machines of a deployment.
    const secret = 'peerSecret: "edge@store-of-the-platform"';
    writeFileSync(settingsFile, settings.replace(/peerSecret: .*/, secret));
    const daemon = { name, machine, settingsFile, output: '' };
    this.launch(daemon);
    await this.whenReady(daemon);
    return daemon;
  }

  async whenReady({ machine, name }) {
    await waitUntil(async () => {
      const response = fetch(machine.readinessUrl).catch(() => undefined);
      return (await response)?.status === 200;
    }, `${name} is ready`);
    this.record.add(`${name}: ready at ${machine.callers}`);
  }

  /** Starts a daemon again that was killed; the whole system does not start for the first time then. */
  restart(daemon) {
    const settings = readFileSync(daemon.settingsFile, 'utf8');
    const changed = settings.replace(
      'isFirstStart: true',
      'isFirstStart: false',
    );
    writeFileSync(daemon.settingsFile, changed);
    this.launch(daemon);
  }

  launch(daemon) {
    const deployFile = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [program, ...args] = /^run = "(.*)"$/m.exec(deployFile)[1].split(' ');
    const ownArgs = args.map(arg =>
      arg === '/etc/skylarkreach/local.toml' ? daemon.settingsFile : arg,
    );
    daemon.process = this.spawn(program, ownArgs, {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [daemon.process.stdout, daemon.process.stderr])
      stream.on('data', chunk => (daemon.output += chunk));
  }

  /** Starts a worker as a process, and its entry in the store. */
  async startWorker(options) {
    const port = options.port ?? (await freePort());
    const address = options.linkAddress ?? `127.0.0.1:${port}`;
    const worker = { ...options, port, address };
    worker.bornAtMs = Date.now();
    worker.process = this.spawn(
      process.execPath,
      [join(LIBRARY, options.program ?? 'worker.mjs'), JSON.stringify(worker)],
      { stdio: ['ignore', 'pipe', 'inherit'] },
    );
    let pending = '';
    worker.process.stdout.on('data', chunk => {
      pending += chunk;
      const lines = pending.split('\n');
      pending = lines.pop();
      for (const line of lines) {
        if (options.isQuiet !== true)
          this.record.add(`worker ${worker.id}: ${line}`);
        options.onLine?.(line);
      }
    });
    await waitUntil(() => listens(port), `worker ${worker.id} listens`);
    this.register(worker);
    return worker;
  }

  /** Writes the entry of a worker as the worker does. */
  register(worker, overrides = {}) {
    this.store.register(worker.id, worker.service, worker.address, {
      Zone: worker.zone ?? 'akl-a',
      Version: worker.version ?? 'v1',
      Slots: 6,
      born: worker.bornAtMs,
      ...overrides,
    });
  }

  async stop() {
    const ended = [...this.children].map(
      child => new Promise(resolve => child.once('exit', resolve)),
    );
    for (const child of this.children) {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    }
    await Promise.all(ended);
    this.store.destroy();
    this.cloud.destroy();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Plays a case; its exit code is 1 if the rule was broken, 0 if it held, and 2 if it could not run. */
export async function play(folder, run, options) {
  const record = new Record(join(folder, 'record.txt'));
  const deployment = new Deployment(record, options);
  let code = 2;
  try {
    await deployment.start();
    const broken = await run(deployment, record);
    for (const each of broken) record.add(`BROKEN: ${each}`);
    if (broken.length === 0) record.add('The rule held.');
    code = broken.length > 0 ? 1 : 0;
  } catch (error) {
    record.add(`The case could not run: ${error.stack}`);
  } finally {
    await deployment.stop();
    record.write();
  }
  console.log(record.lines.at(-1));
  process.exit(code);
}

/** Configuration like that of a small deployment. */
export function smallConfiguration(version, changes = {}) {
  const host = 'sample.example';
  return {
    Version: version,
    Routes: [
      {
        Name: 'posting',
        Host: host,
        PathPrefix: '/posting/',
        Type: 'non_idempotent',
        TimeoutMs: 4000,
        TargetLatencyMs: 386,
        Priority: 2,
        Service: 'ledger-app',
        MaxAttempts: 1,
        Public: false,
      },
      {
        Name: 'lookup',
        Host: host,
        PathPrefix: '/lookup/',
        Type: 'idempotent',
        TimeoutMs: 4000,
        TargetLatencyMs: 386,
        Priority: 2,
        Service: 'ledger-app',
        MaxAttempts: 2,
        Public: false,
      },
      {
        Name: 'draft',
        Host: host,
        PathPrefix: '/draft/',
        Type: 'streaming',
        TimeoutMs: 8000,
        TargetLatencyMs: 800,
        TargetGapMs: 400,
        Priority: 0,
        Service: 'ruling-models',
        MaxAttempts: 2,
        StreamResume: true,
        Public: false,
      },
      ...(changes.routes ?? []),
    ],
    Services: [
      {
        Name: 'ledger-app',
        HealthPath: '/health',
        MaxConnections: 110,
        Slots: 6,
      },
      {
        Name: 'ruling-models',
        HealthPath: '/health',
        MaxConnections: 310,
        Slots: 48,
        Engine: { Slots: 48, KvCapacityTokens: 444000 },
      },
    ],
    Limits: {
      MaxHeaderBytes: 16384,
      MaxBodyBytes: 4194304,
      HeaderTimeoutMs: 5000,
      IdleTimeoutMs: 15000,
    },
    Tenants: [
      {
        Name: 'hule930',
        ApiKeys: changes.keys ?? ['key-of-hule930'],
        PlainTokens: 200,
        RatePerS: 0,
        Burst: 0,
      },
    ],
  };
}
