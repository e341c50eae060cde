import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import type {
  MachineSettings,
  PlatformAddresses,
} from '@skylarkreach/platform/stand-ins';
import { createMachine } from '@skylarkreach/platform/stand-ins';

import { DaemonProcess } from './daemon-process.js';

/** Interval of the load balancer's probes, and the number of misses after which a machine gets no new connections. */
const PROBE_INTERVAL_MS = 1_000;
const MISSES_UNTIL_OUT = 2;

/** Machine with the process that runs on it. */
export interface FleetMachine {
  readonly settings: MachineSettings;
  process: DaemonProcess;
  misses: number;
}

/** Machines with one daemon each, and the load balancer in front of them. */
export class DaemonFleet {
  readonly machines: FleetMachine[] = [];
  /** All processes since the start. */
  readonly processes: DaemonProcess[] = [];
  private readonly folder = mkdtempSync(join(tmpdir(), 'skylarkreach-'));
  private readonly network = `127.${1 + ((process.pid >> 8) & 0x7f)}.${process.pid & 0xff}`;
  private readonly end = new AbortController();

  constructor(private readonly platform: PlatformAddresses) {}

  /** Starts machines with the program and waits until all are ready. */
  async start(count: number, program: string): Promise<void> {
    const numbers = Array.from({ length: count }, (_, index) => index + 1);
    const seeds = numbers.map(number => `${this.network}.${number}:8229`);
    for (const number of numbers) {
      const ip = `${this.network}.${number}`;
      const name = `edge-${number}`;
      const settings = createMachine(ip, name, this.platform, seeds);
      const process = this.launch(settings, program, true);
      this.machines.push({ settings, process, misses: 0 });
    }
    await Promise.all(this.processes.map(each => each.ready));
    void this.probe();
  }

  /** Stops the process of a machine as the platform does, and starts the program there. */
  async replace(machine: FleetMachine, program: string): Promise<void> {
    await machine.process.stop();
    machine.process = this.launch(machine.settings, program, false);
    await machine.process.ready;
  }

  /** Returns the machines to which the load balancer sends new connections. */
  inRotation(): readonly FleetMachine[] {
    return this.machines.filter(each => each.misses < MISSES_UNTIL_OUT);
  }

  /** Returns what went wrong in the processes. */
  problems(): readonly string[] {
    return this.processes.flatMap(each => each.problems);
  }

  /** Stops all processes at once. */
  async stop(): Promise<void> {
    this.end.abort();
    await Promise.all(this.machines.map(each => each.process.stop()));
  }

  destroy(): void {
    this.end.abort();
    for (const process of this.processes) process.kill();
    rmSync(this.folder, { recursive: true, force: true });
  }

  private launch(
    settings: MachineSettings,
    program: string,
    isFirstStart: boolean,
  ): DaemonProcess {
    const number = this.processes.length;
    const daemon = new DaemonProcess(
      program,
      settings,
      this.folder,
      number,
      isFirstStart,
    );
    this.processes.push(daemon);
    return daemon;
  }

  private async probe(): Promise<void> {
    while (!this.end.signal.aborted) {
      await Promise.all(
        this.machines.map(async machine => {
          const isReady = await machine.process.isReady();
          machine.misses = isReady ? 0 : machine.misses + 1;
        }),
      );
      await delay(PROBE_INTERVAL_MS);
    }
  }
}
