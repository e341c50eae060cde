/* global URL, fetch */
// A small deployment: daemons started with the `run` line of the deploy file, with
// settings made from the project's template, before stand-ins of the platform.
import { spawn } from 'node:child_process';
import {
  appendFileSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { Cloud } from './cloud.mjs';
import { CutProxy } from './cut.mjs';
import { Store } from './store.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** Bounds of the sites in force. */
const BOUNDS = {
  ConfigApplyMs: 2_000,
  EvacuationMs: 5_000,
  DrainTimeoutMs: 2_000,
  GracePeriodS: 8,
  LeaseMs: 3_000,
  RetryBudgetRatio: 0.2,
  RetrySlack: 58,
  BudgetWindowS: 10,
  QuotaOverage: 0.1,
  QuotaSlack: 190_000,
  ReportWindowS: 5,
  UsageLateS: 10,
  ExposureShare: 0.1,
  ExposureSlack: 50,
};

function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => {
        resolve(port);
      });
    });
  });
}

export class Deployment {
  store = new Store();
  cloud = new Cloud();
  daemons = [];
  workers = [];
  network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 256)}`;
  startedAtMs = performance.now();

  constructor(recordUrl) {
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.recordFile = fileURLToPath(recordUrl);
    writeFileSync(this.recordFile, '');
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
      process.once(signal, () => {
        this.close();
        process.exit(2);
      });
    }
  }

  record(text) {
    const atS = ((performance.now() - this.startedAtMs) / 1_000).toFixed(3);
    appendFileSync(this.recordFile, `${atS} s  ${text}\n`);
  }

  /** Starts the platform, and daemons in the zones given; `change` may change the fields of a machine. */
  async start({ zones, config, workers = [], change = () => undefined }) {
    const { network } = this;
    this.config = config;
    const storeIp = `${network}.250`;
    this.storeAddress = `${storeIp}:${await freePort(storeIp)}`;
    this.cloudAddress = `${storeIp}:${await freePort(storeIp)}`;
    await this.store.listen(...this.storeAddress.split(':'));
    // Daemons reach the store through a proxy, which can be cut off.
    const nearAddress = `${storeIp}:${await freePort(storeIp)}`;
    this.storeLink = new CutProxy(this.storeAddress);
    await this.storeLink.listen(...nearAddress.split(':'));
    await this.cloud.listen(...this.cloudAddress.split(':'));
    if (config !== undefined) this.store.write('op/config', config);
    for (const worker of workers) await this.addWorker(worker, zones[0]);
    const ports = {};
    for (const name of ['Frontend', 'Ready', 'ControlPlane', 'Peers'])
      ports[name] = await freePort(`${network}.1`);
    const ips = zones.map((_, index) => `${network}.${index + 1}`);
    const Seeds = ips.slice(0, 3).map(ip => `${ip}:${ports.ControlPlane}`);
    for (const [index, Zone] of zones.entries()) {
      const Ip = ips[index];
      const machine = {
        NodeName: `edge-${index + 1}`,
        Role: 'daemon',
        Zone,
        Zones: Object.fromEntries(zones.map(zone => [zone, 'north'])),
        Ip,
        InternalPorts: [ports.Peers, ports.Peers + 15],
        Seeds,
        Bootstrap: true,
        Listen: {
          Frontend: `${Ip}:${ports.Frontend}`,
          Ready: `${Ip}:${ports.Ready}`,
          ControlPlane: `${Ip}:${ports.ControlPlane}`,
        },
        Bounds: { ...BOUNDS },
        Platform: { Address: nearAddress },
        Cloud: { Address: this.cloudAddress },
      };
      change(machine, index);
      this.daemons.push(new Daemon(this, machine));
    }
    for (const daemon of this.daemons) daemon.start();
  }

  async addWorker(worker, zone) {
    const ip = `${this.network}.${100 + this.workers.length}`;
    await worker.listen(ip, await freePort(ip));
    this.workers.push(worker);
    if (worker.isUnlisted !== true)
      this.store.write(
        `servers/${worker.id}`,
        worker.entry(worker.zone ?? zone),
      );
  }

  /** Resolves once all daemons say that they are ready; throws after 20 s. */
  async whenReady(daemons = this.daemons) {
    const untilMs = performance.now() + 20_000;
    for (const daemon of daemons) {
      while (!(await daemon.isReady())) {
        if (performance.now() > untilMs)
          throw new Error(`${daemon.name} is not ready`);
        await delay(50);
      }
    }
  }

  close() {
    for (const daemon of this.daemons) daemon.kill();
    for (const worker of this.workers) worker.close();
    this.storeLink?.close();
    this.store.close();
    this.cloud.close();
    rmSync(this.folder, { recursive: true, force: true });
  }
}

export class Daemon {
  log = '';

  constructor(deployment, machine) {
    this.deployment = deployment;
    this.machine = machine;
    this.name = machine.NodeName;
    this.address = machine.Listen.Frontend;
    this.settingsFile = join(deployment.folder, `${this.name}.yaml`);
  }

  writeSettings() {
    const template = readFileSync(
      join(ROOT, 'platform/settings.template'),
      'utf8',
    );
    const text = template.replaceAll(
      /\{\{([\w.]+)(\|json)?\}\}/g,
      (_, path, asJson) => {
        const value = path
          .split('.')
          .reduce((fields, name) => fields[name], this.machine);
        return asJson === undefined ? String(value) : JSON.stringify(value);
      },
    );
    writeFileSync(this.settingsFile, text);
  }

  start() {
    this.writeSettings();
    const deployFile = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const run = /^run = "(.*)"$/m
      .exec(deployFile)[1]
      .replace('/etc/skylarkreach/local.toml', this.settingsFile);
    const [command, ...args] = run.split(' ');
    this.process = spawn(command, args, {
      cwd: ROOT,
      env: { PATH: process.env.PATH, HOME: this.deployment.folder, LANG: 'C' },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.exited = new Promise(resolve => {
      this.process.once('exit', (code, signal) => {
        this.end = { code, signal };
        resolve(this.end);
      });
    });
    for (const stream of [this.process.stdout, this.process.stderr]) {
      stream.on('data', chunk => {
        this.log += chunk.toString();
      });
    }
    // The platform starts the whole system for the first time only once.
    this.machine.Bootstrap = false;
  }

  signal(name) {
    this.process.kill(name);
  }

  kill() {
    if (this.process === undefined || this.end !== undefined) return;
    this.process.kill('SIGCONT');
    this.process.kill('SIGKILL');
  }

  async isReady() {
    const response = await fetch(
      `http://${this.machine.Listen.Ready}/-/readiness`,
    ).catch(() => undefined);
    await response?.text();
    return response?.status === 200;
  }
}

/** Runs a case, and ends the process with its result: 1 if the rule was broken, 0 if it held, 2 if it could not run. */
export async function runCase(recordUrl, play) {
  const deployment = new Deployment(recordUrl);
  let code = 2;
  try {
    const isBroken = await play(deployment);
    code = isBroken ? 1 : 0;
    deployment.record(
      isBroken ? 'RESULT: the rule was broken' : 'RESULT: the rule held',
    );
  } catch (error) {
    deployment.record(`RESULT: the case could not run: ${error.stack}`);
  } finally {
    if (process.env.KEEP_LOGS) {
      for (const daemon of deployment.daemons)
        writeFileSync(
          join(process.env.KEEP_LOGS, `${daemon.name}.log`),
          daemon.log,
        );
    }
    deployment.close();
  }
  process.exit(code);
}
