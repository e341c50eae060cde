import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { request } from 'undici';

import type { MachineSettings } from '@skylarkreach/platform/stand-ins';
import { renderSettings } from '@skylarkreach/platform/stand-ins';

import { templateBeside } from './daemon-builds.js';
import type { LinkMessage } from './link-cutter.js';

const START_TIMEOUT_MS = 15_000;
const STOP_TIMEOUT_MS = 10_000;
const POLL_INTERVAL_MS = 50;
const READINESS_TIMEOUT_MS = 1_000;
/** Levels of log lines that no planned work may cause. */
const ERROR_LEVELS: ReadonlySet<unknown> = new Set(['error', 'fatal', 50, 60]);
const CUTTER = fileURLToPath(new URL('link-cutter.js', import.meta.url));
/** Metrics that count messages of peers that could not be used. */
const REFUSALS = /^skylarkreach_(peers|relay)_\S* [1-9]/;

/** Process of one daemon. */
export class DaemonProcess {
  /** Names the process among all of its machine. */
  readonly id: string;
  readonly ready: Promise<void>;
  /** Undefined until the daemon is ready. */
  becameReadyAtMs: number | undefined;
  readonly problems: string[] = [];
  isStopping = false;
  private readonly child: ChildProcess;
  private readonly exited: Promise<unknown>;

  constructor(
    program: string,
    readonly machine: MachineSettings,
    folder: string,
    number: number,
    isFirstStart: boolean,
  ) {
    this.id = `${machine.name}/${number}`;
    const file = join(folder, `${machine.name}.yaml`);
    const template = readFileSync(templateBeside(program), 'utf8');
    writeFileSync(file, renderSettings(template, machine, isFirstStart));
    this.child = spawn(
      process.execPath,
      ['--import', CUTTER, program, '--settings', file],
      { stdio: ['ignore', 'pipe', 'pipe', 'ipc'] },
    );
    this.exited = once(this.child, 'exit');
    this.child.once('exit', code => {
      if (!this.isStopping) this.problems.push(`${this.id} ended by itself`);
      else if (code !== 0)
        this.problems.push(`${this.id} stopped with ${String(code)}`);
    });
    this.readOutput();
    this.ready = this.waitUntilReady();
  }

  /** Cuts or restores the links to the endpoints. Cut connections stay cut. */
  setLinks(message: LinkMessage): void {
    this.child.send(message);
  }

  /** Returns whether the daemon says that it is ready. */
  async isReady(): Promise<boolean> {
    try {
      const { body, statusCode } = await request(this.machine.readinessUrl, {
        signal: AbortSignal.timeout(READINESS_TIMEOUT_MS),
      });
      await body.dump();
      return statusCode === 200;
    } catch {
      return false;
    }
  }

  /** Stops the daemon as the platform does, and waits for its end. */
  async stop(): Promise<void> {
    await this.recordRefusals();
    this.isStopping = true;
    this.child.kill('SIGTERM');
    const timeout = new AbortController();
    const late = delay(STOP_TIMEOUT_MS, 'late', { signal: timeout.signal });
    const end = await Promise.race([this.exited, late]);
    timeout.abort();
    await late.catch(() => undefined);
    if (end === 'late') this.problems.push(`${this.id} did not stop`);
    this.kill();
  }

  kill(): void {
    this.isStopping = true;
    this.child.kill('SIGKILL');
  }

  private async recordRefusals(): Promise<void> {
    const { body } = await request(this.machine.metricsUrl, {
      signal: AbortSignal.timeout(READINESS_TIMEOUT_MS),
    });
    const lines = (await body.text()).split('\n');
    const refusals = lines.filter(line => REFUSALS.test(line));
    this.problems.push(...refusals.map(line => `${this.id}: ${line}`));
  }

  private async waitUntilReady(): Promise<void> {
    const deadlineAtMs = performance.now() + START_TIMEOUT_MS;
    while (!(await this.isReady())) {
      if (performance.now() >= deadlineAtMs) {
        throw new Error(`${this.id} was not ready in ${START_TIMEOUT_MS} ms.`);
      }
      await delay(POLL_INTERVAL_MS);
    }
    this.becameReadyAtMs = performance.now();
  }

  private readOutput(): void {
    const { stderr, stdout } = this.child;
    if (stdout === null || stderr === null) return;
    createInterface(stderr).on('line', line => {
      this.problems.push(`${this.id}: ${line}`);
    });
    createInterface(stdout).on('line', line => {
      const { level } = JSON.parse(line) as { level?: unknown };
      if (ERROR_LEVELS.has(level)) this.problems.push(`${this.id}: ${line}`);
    });
  }
}
