/* global AbortSignal, fetch, performance, process */
// Starts the deployed program as processes, with settings made from the project's template.
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

export const root = join(dirname(fileURLToPath(import.meta.url)), '../..');
const deploy = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
const run = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
const template = readFileSync(
  join(root, /^template = "(.*)"$/m.exec(deploy)[1]),
  'utf8',
);

/** Fills in placeholders and sections as DEPLOY.md describes them. */
function fill(text, fields) {
  const valueOf = path =>
    path.split('.').reduce((value, name) => value?.[name], fields);
  return text
    .replace(
      /^\{\{([#^])([\w.]+)\}\}\n([\s\S]*?)^\{\{\/\2\}\}\n/gm,
      (_, kind, path, inner) => {
        const isPresent =
          valueOf(path) !== undefined && valueOf(path) !== false;
        return isPresent === (kind === '#') ? inner : '';
      },
    )
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, asJson) => {
      const value = valueOf(path);
      if (asJson) return JSON.stringify(value ?? null);
      return value === undefined
        ? ''
        : typeof value === 'object'
          ? JSON.stringify(value)
          : String(value);
    });
}

/** Bounds of the small sites. */
export const BOUNDS = {
  SeedLagS: 3,
  ReuseDelayS: 2,
  ContactMs: 3000,
  AckTimeoutMs: 4000,
  CatchUpS: 4,
  DrainTimeoutMs: 2000,
  GracePeriodS: 8,
  LossSlackMs: 200,
  ConfigApplyMs: 2000,
  RollbackSlackMs: 250,
  MaxStretchMs: 5000,
  StrictRevocation: false,
  RevokeMs: 5000,
  RetryBudgetRatio: 0.2,
  BudgetWindowS: 10,
  RetrySlack: 58,
  QuotaWindowS: 8,
  QuotaOverage: 0.1,
  QuotaSlack: 190000,
  RequireFencing: false,
  LeaseMs: 3000,
  ThawSlackMs: 300,
  ReportWindowS: 5,
  UsageTolerance: 0.05,
  UsageLateS: 10,
  ExposureShare: 0.1,
  ExposureSlack: 50,
  RollbackMs: 5000,
  RecoveryS: 12,
  PassMs: 120,
  ReuseWindowS: 8.1,
};

export class Daemons {
  folder = mkdtempSync(join(tmpdir(), 'review-'));
  processes = new Map();
  exits = [];
  output = new Map();

  constructor({
    storeAddress,
    cloudAddress,
    net = '127.77.1',
    zones = ['z-a', 'z-b'],
  }) {
    Object.assign(this, { storeAddress, cloudAddress, net, zones });
  }

  ip(n) {
    return `${this.net}.${n}`;
  }

  callers(n) {
    return { host: this.ip(n), port: 8221 };
  }

  start(n, { bootstrap = true, env = {} } = {}) {
    const ip = this.ip(n);
    const zone = this.zones[(n - 1) % this.zones.length];
    const fields = {
      NodeName: `edge-${n}`,
      Role: 'daemon',
      Ip: ip,
      Zone: zone,
      Region: 'north',
      InternalPorts: [7600, 7615],
      Seeds: [1, 2, 3].map(each => `${this.ip(each)}:8229`),
      Bootstrap: bootstrap,
      HeartbeatMs: 1200,
      Zones: Object.fromEntries(this.zones.map(each => [each, 'north'])),
      Listen: {
        Frontend: `${ip}:8221`,
        Ready: `${ip}:8224`,
        ControlPlane: `${ip}:8229`,
      },
      Limits: {
        CpuShare: 0.675,
        Cores: 1,
        MemoryMb: 350,
        MaxFds: 4100,
        LinkMbps: 1000,
        DiskMb: 0,
      },
      Bounds: BOUNDS,
      Platform: { Address: this.storeAddress, form: 'kv' },
      Cloud: { Address: this.cloudAddress },
    };
    const file = join(this.folder, `settings-${n}.yaml`);
    writeFileSync(file, fill(template, fields));
    const args = run
      .slice(1)
      .map(each => (each === '/etc/skylarkreach/local.toml' ? file : each));
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(run[0], args, {
      cwd: root,
      env: { PATH, HOME, LANG, ...env },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [child.stdout, child.stderr])
      stream.on('data', chunk => {
        const text = (this.output.get(n) ?? '') + chunk.toString();
        this.output.set(n, text.slice(-20_000_000));
      });
    child.once('exit', (code, signal) => {
      this.exits.push({
        n,
        code,
        signal,
        atMs: performance.now(),
        expected: child.isKilled === true,
      });
      if (this.processes.get(n) === child) this.processes.delete(n);
    });
    this.processes.set(n, child);
    return child;
  }

  kill(n, signal = 'SIGKILL') {
    const child = this.processes.get(n);
    if (!child) return;
    if (signal === 'SIGKILL' || signal === 'SIGTERM') child.isKilled = true;
    child.kill(signal);
  }

  async ready(n, timeoutMs = 15_000) {
    const untilMs = performance.now() + timeoutMs;
    while (performance.now() < untilMs) {
      const response = await fetch(`http://${this.ip(n)}:8224/-/readiness`, {
        signal: AbortSignal.timeout(1_000),
      }).catch(() => undefined);
      await response?.arrayBuffer().catch(() => undefined);
      if (response?.status === 200) return true;
      await delay(50);
    }
    return false;
  }

  close() {
    for (const child of this.processes.values()) {
      child.isKilled = true;
      child.kill('SIGKILL');
    }
    rmSync(this.folder, { recursive: true, force: true });
  }
}
