import type { Fault } from '@skylarkreach/core/fakes';
import { FaultyKeyValue } from '@skylarkreach/core/fakes';
import type { Address, DataCentre } from '@skylarkreach/core/ports';
import { LogLevel, SystemClock } from '@skylarkreach/daemon';

import type {
  LocalDeploymentOptions,
  RunningDaemon,
  RunningEngine,
} from '../deployment/index.js';
import { Balancer, LocalDeployment } from '../deployment/index.js';
import type {
  BadVersionEvidence,
  DispatchEvidence,
  Evidence,
} from './evidence.js';
import { KeyValueFaults } from './key-value-faults.js';
import { PromiseChecker } from './promise-checker.js';
import { RevisionObserver } from './revision-observer.js';
import { ScenarioCallers } from './scenario-callers.js';
import { ScenarioOperators } from './scenario-operators.js';
import { Trace, TraceKind } from './trace.js';
import type { Violation } from './violation.js';
import { PromiseViolationError } from './violation.js';

/** How callers reach the daemons. */
export enum CallerPath {
  /** Each caller knows every daemon. */
  Direct = 'direct',
  /** Each connection goes to a daemon that the balancer chooses. */
  Balancer = 'balancer',
}

/** Largest share of a bad version in the first stage of a move, by chance included. */
const MAX_BAD_SHARE_PERCENT = 10;
const MIN_BAD_REQUESTS = 5;

/** A local deployment with its callers, operators, faults and trace. */
export class ScenarioWorld {
  readonly faults = new KeyValueFaults();
  readonly deployment: LocalDeployment;
  readonly trace: Trace;
  readonly callers: ScenarioCallers;
  readonly operators: ScenarioOperators;
  readonly balancer: Balancer;
  private readonly badVersions: BadVersionEvidence[] = [];
  private readonly observer: RevisionObserver;
  private balancerUrl = '';

  constructor(
    options: Partial<LocalDeploymentOptions>,
    private readonly path = CallerPath.Direct,
  ) {
    this.deployment = new LocalDeployment({
      logLevel: LogLevel.Silent,
      services: [
        { group: 'ledger', deduplicatesByKey: false, answersOutcomes: true },
      ],
      ...options,
      wrapKeyValue: store =>
        new FaultyKeyValue(store, new SystemClock(), operation =>
          this.faults.next(operation),
        ),
    });
    const { clock } = this.deployment;
    this.trace = new Trace(clock);
    this.balancer = new Balancer(() => this.readyAddresses());
    this.callers = new ScenarioCallers(clock, this.trace, () =>
      this.callerUrls(),
    );
    this.operators = new ScenarioOperators(this.trace);
    this.observer = new RevisionObserver(this.deployment);
  }

  async start(): Promise<void> {
    await this.deployment.start();
    this.balancerUrl = await this.balancer.listen();
    this.observer.start();
  }

  async stop(): Promise<void> {
    this.faults.clear();
    this.observer.stop();
    await this.callers.close();
    this.balancer.destroy();
    await this.deployment.stop();
  }

  /** Sets the fault of every call of the key-value service. */
  setKeyValueFault(fault: Fault): void {
    this.faults.standing = fault;
    this.traceFault('key-value service', fault);
  }

  /** Announces the reclaim of a data centre, waits for it and takes it away. */
  async reclaim(dataCentre: DataCentre, noticeMs: number): Promise<void> {
    const { clock } = this.deployment;
    const reclaimAtMs = clock.nowMs() + noticeMs;
    this.deployment.announceReclaim(dataCentre, reclaimAtMs);
    this.traceFault(dataCentre, `is reclaimed in ${noticeMs} ms`);
    await clock.waitUntil(reclaimAtMs);
    await this.deployment.takeDataCentre(dataCentre);
    this.traceFault(dataCentre, 'is gone');
  }

  async killDaemon(killed: RunningDaemon): Promise<void> {
    this.traceFault(killed.id, `${killed.addresses.callers} is killed`);
    await this.deployment.killDaemon(killed);
  }

  killEngine(killed: RunningEngine): void {
    this.traceFault(killed.instanceId, `${killed.address} is killed`);
    this.deployment.killEngine(killed);
  }

  /** Starts an engine of a version that breaks every stream. */
  async addBadEngine(dataCentre: DataCentre, version: string): Promise<void> {
    const bad = { version, breaksStreams: true };
    const { address } = await this.deployment.addEngine(dataCentre, bad);
    this.traceFault(address, `starts with the bad version ${version}`);
    if (this.badVersions.some(each => each.version === version)) return;
    this.badVersions.push({
      version,
      movedAtMs: this.deployment.clock.nowMs(),
      maxSharePercent: MAX_BAD_SHARE_PERCENT,
      minRequests: MIN_BAD_REQUESTS,
    });
  }

  traceFault(subject: string, message: string): void {
    this.trace.record(TraceKind.Fault, subject, message);
  }

  /** Waits for every caller, then checks every promise. */
  async check(): Promise<readonly Violation[]> {
    await this.callers.ended();
    return new PromiseChecker().check(await this.evidence());
  }

  /** Throws `PromiseViolationError` where a promise did not hold. */
  async expectEveryPromise(): Promise<void> {
    const violations = await this.check();
    if (violations.length === 0) return;
    throw new PromiseViolationError(violations, this.trace.toText());
  }

  private callerUrls(): readonly string[] {
    if (this.path === CallerPath.Balancer) return [this.balancerUrl];
    return this.deployment.daemons.map(
      each => `http://${each.addresses.callers}`,
    );
  }

  /** Daemons that are neither stopping nor under notice. */
  private readyAddresses(): readonly Address[] {
    return this.deployment.daemons
      .filter(({ daemon }) => !daemon.wiring.survival.handOff.hasBegun)
      .map(each => each.addresses.callers);
  }

  private async evidence(): Promise<Evidence> {
    const { answers, postings } = this.callers;
    const { engines, leavingEndpoints, service } = this.deployment;
    return {
      answers: await Promise.all(answers.map(each => each.ended)),
      postings: await Promise.all(postings.map(each => each.ended)),
      runs: service.runs,
      dispatches: engines.flatMap(dispatchesOf),
      leavings: leavingEndpoints.map(({ address, announcedAtMs }) => ({
        endpoint: address,
        announcedAtMs,
      })),
      revisions: this.observer.revisions,
      badVersions: this.badVersions,
    };
  }
}

function dispatchesOf({
  address,
  engine,
}: RunningEngine): readonly DispatchEvidence[] {
  const { version } = engine.options;
  return engine.dispatches.map(each => ({
    ...each,
    version,
    endpoint: address,
  }));
}
