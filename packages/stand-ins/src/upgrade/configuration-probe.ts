import { setTimeout as delay } from 'node:timers/promises';

import { Agent, request } from 'undici';

import type { StoreServer } from '@skylarkreach/platform/stand-ins';
import { sampleCall } from '@skylarkreach/platform/stand-ins';

import type { DaemonFleet, FleetMachine } from './daemon-fleet.js';

const PROBE_INTERVAL_MS = 100;
const DEADLINE_MS = 1_500;
/** Time from its start after which a daemon counts as in contact. */
const CONTACT_MS = 3_000;
/** Time within which a stored configuration must be in force. */
const APPLY_MS = 2_000;
/** Time after a request that shows a version, from which no older one may be shown. */
const ROLLBACK_SLACK_MS = 250;
const NOT_FOUND = 404;

/** Configuration and the route that only it and later ones have. */
interface StoredVersion {
  readonly path: string;
  readonly storedAtMs: number;
}

/** Changes the configuration and asks all daemons for the routes that each change added. */
export class ConfigurationProbe {
  readonly violations: string[] = [];
  private readonly versions: StoredVersion[] = [];
  private readonly seenAtMs = new Map<string, number>();
  private readonly agent = new Agent();
  private running: Promise<void> | undefined;
  private isOver = false;
  private probes = 0;

  constructor(
    private readonly store: StoreServer,
    private readonly fleet: DaemonFleet,
  ) {}

  start(): void {
    this.running = this.run();
  }

  async stop(): Promise<void> {
    this.isOver = true;
    await this.running;
    await this.agent.destroy();
  }

  /** Stores a configuration with one more route. */
  change(): void {
    const path = `/added-${this.versions.length}/`;
    this.versions.push({ path, storedAtMs: performance.now() });
    const version = 1 + this.versions.length * 3;
    const addedPaths = this.versions.map(each => each.path);
    this.store.configure(version, { addedPaths });
  }

  private async run(): Promise<void> {
    while (!this.isOver) {
      const { machines } = this.fleet;
      await Promise.all(machines.map(machine => this.probe(machine)));
      await delay(PROBE_INTERVAL_MS);
    }
  }

  private async probe({ process, settings }: FleetMachine): Promise<void> {
    const version = this.versions.at(-1);
    if (version === undefined || process.isStopping) return;
    const readyAtMs = process.becameReadyAtMs;
    if (readyAtMs === undefined) return;
    const sentAtMs = performance.now();
    const status = await this.statusOf(settings.callers, version.path);
    const key = `${process.id}${version.path}`;
    if (status !== undefined && status !== NOT_FOUND) {
      const seenAtMs = performance.now();
      this.seenAtMs.set(key, this.seenAtMs.get(key) ?? seenAtMs);
    }
    if (status !== NOT_FOUND) return;
    const seenAtMs = this.seenAtMs.get(key) ?? Infinity;
    const isReverted = sentAtMs > seenAtMs + ROLLBACK_SLACK_MS;
    const dueAtMs = Math.max(
      version.storedAtMs + APPLY_MS,
      readyAtMs + CONTACT_MS,
    );
    if (isReverted) this.violations.push(`${key} was reverted`);
    if (sentAtMs > dueAtMs) this.violations.push(`${key} is not in force`);
  }

  private async statusOf(
    address: string,
    path: string,
  ): Promise<number | undefined> {
    this.probes += 1;
    const { headers } = sampleCall(`probe-${this.probes}`, DEADLINE_MS, false);
    try {
      const { body, statusCode } = await request(`http://${address}${path}a`, {
        headers,
        dispatcher: this.agent,
        signal: AbortSignal.timeout(DEADLINE_MS),
      });
      await body.dump();
      return statusCode;
    } catch {
      return undefined;
    }
  }
}
