import { setTimeout as delay } from 'node:timers/promises';

import type { SampleConfigurationOptions } from '@skylarkreach/platform/stand-ins';

import type { GatewayDeployment, SoakPlan } from '../gateway/index.js';
import { DaemonProcess, StopEnd } from './daemon-process.js';
import type { RecordAct } from './endpoint-faults.js';
import { LinkFault, LinkProxy } from './link-proxy.js';
import { ActKind, OVERDUE } from './loss-checks.js';
import type { SoakVariant } from './soak-variant.js';

const DAEMONS = 4;
/** Daemons that are neither stopped nor killed at one time. */
const MIN_DAEMONS = 2;
const PROBE_INTERVAL_MS = 1_000;
const MISSES_UNTIL_OUT = 2;
const MIN_FAULT_MS = 500;
const FAULT_SPREAD_MS = 1_500;
const MIN_HOLD_UP_MS = 100;
const HOLD_UP_SPREAD_MS = 300;
const QUICK_CONFIGURATIONS = 4;
const QUICK_GAP_MS = 120;
const MANY_ROUTES = 400;
const STORE_LINK_FAULTS = [
  LinkFault.None,
  LinkFault.Slow,
  LinkFault.Silent,
  LinkFault.HoldsRequests,
  LinkFault.HoldsResponses,
];
/** Key that some configurations have besides the sample key. */
export const EXTRA_KEY = 'extra-key';

export enum DaemonFault {
  Stop = 'stop',
  /** Stop of a daemon that is held up again and again. */
  StopHeldUp = 'stopHeldUp',
  Kill = 'kill',
  Freeze = 'freeze',
  /** Short freeze, as the work of a daemon itself causes it. */
  HoldUp = 'holdUp',
  Reload = 'reload',
  StoreLink = 'storeLink',
  Configure = 'configure',
  ConfigureQuickly = 'configureQuickly',
  GrowConfiguration = 'growConfiguration',
}

/** Daemon with its own link to the store. */
export interface SoakDaemon {
  readonly daemon: DaemonProcess;
  readonly storeLink: LinkProxy;
  /** Id of its current process. */
  processId: string;
  starts: number;
  isEnding: boolean;
  isFrozen: boolean;
  /** Probes of the load balancer in a row that found it not ready. */
  misses: number;
}

/** Gateway daemons of a soak, which are processes of their own, and their faults. */
export class DaemonFaults {
  readonly daemons: SoakDaemon[] = [];
  private configurationVersion = 1;
  private isOver = false;

  constructor(
    private readonly program: string,
    private readonly plan: SoakPlan,
    private readonly record: RecordAct,
    private readonly deployment: GatewayDeployment,
    private readonly variant: SoakVariant,
  ) {}

  async start(): Promise<void> {
    const { cloudAddress, storeAddress } = this.deployment;
    const { services, settings } = this.variant;
    this.deployment.writeConfiguration(this.configurationVersion, { services });
    for (let index = 0; index < DAEMONS; index += 1) {
      const { address, proxy } = await LinkProxy.start(storeAddress);
      const platform = { storeAddress: address, cloudAddress };
      const id = `daemon-${index}`;
      this.daemons.push({
        daemon: await DaemonProcess.create(
          this.program,
          id,
          platform,
          settings,
        ),
        storeLink: proxy,
        processId: '',
        starts: 0,
        isEnding: true,
        isFrozen: false,
        misses: 0,
      });
    }
    await Promise.all(this.daemons.map(each => this.startProcess(each)));
    for (const each of this.daemons) void this.probe(each);
  }

  /** Ends all processes at once. */
  killAll(): void {
    this.isOver = true;
    for (const { daemon } of this.daemons) daemon.signal('SIGKILL');
  }

  async destroy(): Promise<void> {
    this.killAll();
    for (const { daemon, storeLink } of this.daemons) {
      await daemon.destroy();
      storeLink.destroy();
    }
  }

  /** Returns the daemon to which the load balancer routes a new connection. */
  pickRouted(): SoakDaemon {
    const routed = this.daemons.filter(each => each.misses < MISSES_UNTIL_OUT);
    return this.plan.pick(routed.length > 0 ? routed : this.daemons);
  }

  async apply(fault: DaemonFault): Promise<void> {
    switch (fault) {
      case DaemonFault.Stop:
      case DaemonFault.StopHeldUp:
      case DaemonFault.Kill:
        await this.restart(fault);
        break;
      case DaemonFault.Freeze:
        await this.freeze(this.pick(), ActKind.Freeze, this.faultMs());
        break;
      case DaemonFault.HoldUp:
        await this.holdUp(this.pick());
        break;
      case DaemonFault.Reload:
        this.reload();
        break;
      case DaemonFault.StoreLink:
        await this.disturbStoreLink();
        break;
      case DaemonFault.Configure:
        this.configure();
        break;
      case DaemonFault.ConfigureQuickly:
        for (let count = 0; count < QUICK_CONFIGURATIONS; count += 1) {
          this.configure();
          await delay(QUICK_GAP_MS);
        }
        break;
      case DaemonFault.GrowConfiguration:
        this.configure(MANY_ROUTES);
    }
  }

  private async startProcess(each: SoakDaemon): Promise<void> {
    each.starts += 1;
    each.processId = `${each.daemon.id}/${each.starts}`;
    const act = this.record(ActKind.Start, each.processId);
    await each.daemon.start();
    act.untilMs = performance.now();
    each.misses = 0;
    each.isEnding = false;
  }

  private async restart(fault: DaemonFault): Promise<void> {
    const candidates = this.daemons.filter(each => !each.isEnding);
    if (candidates.length <= MIN_DAEMONS) return;
    const each = this.plan.pick(candidates);
    each.isEnding = true;
    const { daemon, processId } = each;
    const isKill = fault === DaemonFault.Kill;
    const act = this.record(isKill ? ActKind.Kill : ActKind.Stop, processId);
    const ended = isKill ? daemon.kill() : daemon.stop();
    if (fault === DaemonFault.StopHeldUp) void this.holdUpUntil(each, ended);
    if ((await ended) === StopEnd.Overdue) act.detail = OVERDUE;
    act.untilMs = performance.now();
    if (!this.isOver) await this.startProcess(each);
  }

  private async holdUpUntil(
    each: SoakDaemon,
    ended: Promise<unknown>,
  ): Promise<void> {
    const end = new AbortController();
    void ended.then(() => {
      end.abort();
    });
    while (!end.signal.aborted) {
      await this.holdUp(each);
      await delay(this.plan.nextMs(0, MIN_FAULT_MS));
    }
  }

  private holdUp(each: SoakDaemon): Promise<void> {
    const forMs = this.plan.nextMs(MIN_HOLD_UP_MS, HOLD_UP_SPREAD_MS);
    return this.freeze(each, ActKind.HoldUp, forMs);
  }

  private async freeze(
    each: SoakDaemon,
    kind: ActKind,
    forMs: number,
  ): Promise<void> {
    if (each.isFrozen) return;
    each.isFrozen = true;
    const act = this.record(kind, each.processId);
    each.daemon.signal('SIGSTOP');
    await delay(forMs);
    each.daemon.signal('SIGCONT');
    act.untilMs = performance.now();
    each.isFrozen = false;
  }

  private reload(): void {
    const each = this.pick();
    // A process that has just started has no handler yet and would end.
    if (each.isEnding) return;
    this.record(ActKind.Reload, each.processId);
    each.daemon.reload(Math.round(this.plan.nextMs(40, 20)));
  }

  private async disturbStoreLink(): Promise<void> {
    const { processId, storeLink } = this.pick();
    const fault = this.plan.pick(STORE_LINK_FAULTS);
    const act = this.record(ActKind.StoreLink, processId, fault);
    if (fault === LinkFault.None) storeLink.resetConnections();
    storeLink.fault = fault;
    await delay(this.faultMs());
    storeLink.fault = LinkFault.None;
    act.untilMs = performance.now();
  }

  private configure(extraRoutes = this.plan.pick([0, 1, 1, 20])): void {
    const options: SampleConfigurationOptions = {
      extraRoutes,
      extraKeys: this.plan.pick([[], [EXTRA_KEY]]),
      lookupsService: this.plan.pick(['ledger', 'records']),
      plainTimeoutMs: this.plan.pick([700, 1_500, 3_000]),
      idleTimeoutMs: this.plan.pick([1_000, 2_000, 4_000]),
      services: this.variant.services,
    };
    this.configurationVersion += 1;
    const { configurationVersion: version } = this;
    const detail = `${version} ${JSON.stringify(options)}`;
    const act = this.record(ActKind.Configure, '', detail);
    act.plainTimeoutMs = options.plainTimeoutMs;
    act.untilMs = act.fromMs;
    this.deployment.writeConfiguration(version, options);
  }

  /** Asks a daemon whether it is ready, as the load balancer does. */
  private async probe(each: SoakDaemon): Promise<void> {
    while (!this.isOver) {
      const { daemon, processId } = each;
      const act = this.record(ActKind.Probe, processId);
      const waitedMs = daemon.processorWaitMs();
      const probed = daemon.isReady().then(isReady => {
        each.misses = isReady ? 0 : each.misses + 1;
      });
      await Promise.all([probed, delay(PROBE_INTERVAL_MS)]);
      const waitMs = Math.round(daemon.processorWaitMs() - waitedMs);
      act.detail = `misses: ${each.misses}, waited ${waitMs} ms for a processor`;
      // The count of a process that was started meanwhile is lower.
      act.processorWaitMs = Math.max(0, waitMs);
      act.untilMs = performance.now();
    }
  }

  private pick(): SoakDaemon {
    return this.plan.pick(this.daemons);
  }

  private faultMs(): number {
    return this.plan.nextMs(MIN_FAULT_MS, FAULT_SPREAD_MS);
  }
}
