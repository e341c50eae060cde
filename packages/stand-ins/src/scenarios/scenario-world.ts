import type { Fault } from '@skylarkreach/core/fakes';
import { FaultyKeyValue } from '@skylarkreach/core/fakes';
import type { Address, DataCentre } from '@skylarkreach/core/ports';
import { LogLevel, SystemClock } from '@skylarkreach/daemon';

import type {
  LocalDeploymentOptions,
  RunningDaemon,
  RunningEngine,
} from '../deployment/index.js';
import { LoadBalancer, LocalDeployment } from '../deployment/index.js';
import { GuaranteeChecker } from './guarantee-checker.js';
import { KeyValueFaults } from './key-value-faults.js';
import { RevisionObserver } from './revision-observer.js';
import type {
  BadVersionLimit,
  DispatchRecord,
  RunHistory,
} from './run-history.js';
import { ScenarioCallers } from './scenario-callers.js';
import { ScenarioOperators } from './scenario-operators.js';
import { Trace, TraceKind } from './trace.js';
import type { Violation } from './violation.js';
import { GuaranteeViolationError } from './violation.js';

/** How callers reach the daemons. */
export enum CallerPath {
  /** Each caller connects to the daemons and knows the URLs of all. */
  Direct = 'direct',
  /** Each caller connects to the balancer, which chooses a daemon per connection. */
  Balancer = 'balancer',
}

/** Upper bound of the share of a bad version in the first stage of a move, with a margin for random variation. */
const MAX_BAD_VERSION_SHARE_PERCENT = 10;
/** Number of requests to a bad version that is allowed even where it exceeds the share. */
const ALWAYS_ALLOWED_BAD_VERSION_REQUESTS = 5;

/** Local deployment with simulated callers and operators, fault injection and a trace of the run. */
export class ScenarioWorld {
  readonly faults = new KeyValueFaults();
  readonly deployment: LocalDeployment;
  readonly trace: Trace;
  readonly callers: ScenarioCallers;
  readonly operators: ScenarioOperators;
  readonly balancer: LoadBalancer;
  private readonly badVersions: BadVersionLimit[] = [];
  private readonly revisionObserver: RevisionObserver;
  private balancerUrl = '';

  constructor(
    options: Partial<LocalDeploymentOptions>,
    private readonly callerPath = CallerPath.Direct,
  ) {
    this.deployment = new LocalDeployment({
      logLevel: LogLevel.Silent,
      services: [
        { group: 'ledger', deduplicatesByKey: false, answersOutcomes: true },
      ],
      ...options,
      wrapKeyValue: store =>
        new FaultyKeyValue(store, new SystemClock(), operation =>
          this.faults.nextFault(operation),
        ),
    });
    const { clock } = this.deployment;
    this.trace = new Trace(clock);
    this.balancer = new LoadBalancer(() => this.readyAddresses());
    this.callers = new ScenarioCallers(clock, this.trace, () =>
      this.callerUrls(),
    );
    this.operators = new ScenarioOperators(this.trace);
    this.revisionObserver = new RevisionObserver(this.deployment);
  }

  async start(): Promise<void> {
    await this.deployment.start();
    this.balancerUrl = await this.balancer.listen();
    this.revisionObserver.start();
  }

  async stop(): Promise<void> {
    this.faults.clear();
    this.revisionObserver.stop();
    await this.callers.close();
    this.balancer.destroy();
    await this.deployment.stop();
  }

  /** Sets the fault that every call to the key-value service meets until it is changed. */
  setKeyValueFault(fault: Fault): void {
    this.faults.persistentFault = fault;
    this.traceFault('key-value service', fault);
  }

  /** Announces the reclaim of a data centre, waits until it is due and ends its daemons and engines. */
  async reclaim(dataCentre: DataCentre, noticeMs: number): Promise<void> {
    const { clock } = this.deployment;
    const reclaimAtMs = clock.nowMs() + noticeMs;
    this.deployment.announceDataCentreReclaim(dataCentre, reclaimAtMs);
    this.traceFault(dataCentre, `will be reclaimed in ${noticeMs} ms`);
    await clock.waitUntil(reclaimAtMs);
    await this.deployment.killDataCentre(dataCentre);
    this.traceFault(dataCentre, 'has been reclaimed');
  }

  async killDaemon(daemon: RunningDaemon): Promise<void> {
    this.traceFault(daemon.id, `${daemon.addresses.callers} is killed`);
    await this.deployment.killDaemon(daemon);
  }

  killEngine(engine: RunningEngine): void {
    this.traceFault(engine.instanceId, `${engine.address} is killed`);
    this.deployment.killEngine(engine);
  }

  /** Starts an engine of a version that breaks every stream, and limits the version's share. */
  async addBadEngine(dataCentre: DataCentre, version: string): Promise<void> {
    const engineOptions = { version, breaksStreams: true };
    const { address } = await this.deployment.addEngine(
      dataCentre,
      engineOptions,
    );
    this.traceFault(address, `starts with the bad version ${version}`);
    if (this.badVersions.some(each => each.version === version)) return;
    this.badVersions.push({
      version,
      startedAtMs: this.deployment.clock.nowMs(),
      maxSharePercent: MAX_BAD_VERSION_SHARE_PERCENT,
      alwaysAllowedRequests: ALWAYS_ALLOWED_BAD_VERSION_REQUESTS,
    });
  }

  traceFault(subject: string, message: string): void {
    this.trace.record(TraceKind.Fault, subject, message);
  }

  /** Waits until every request has an outcome, then returns the violated guarantees. */
  async check(): Promise<readonly Violation[]> {
    await this.callers.waitForAll();
    return new GuaranteeChecker().check(await this.collectHistory());
  }

  /** Checks every guarantee as `check` does. Throws `GuaranteeViolationError`. */
  async assertGuarantees(): Promise<void> {
    const violations = await this.check();
    if (violations.length === 0) return;
    throw new GuaranteeViolationError(violations, this.trace.toText());
  }

  private callerUrls(): readonly string[] {
    if (this.callerPath === CallerPath.Balancer) return [this.balancerUrl];
    return this.deployment.daemons.map(
      each => `http://${each.addresses.callers}`,
    );
  }

  /** Returns the daemons that are neither stopping nor under a reclaim notice. */
  private readyAddresses(): readonly Address[] {
    return this.deployment.daemons
      .filter(({ daemon }) => !daemon.wiring.survival.handOff.hasStarted)
      .map(each => each.addresses.callers);
  }

  private async collectHistory(): Promise<RunHistory> {
    const { answers, postings } = this.callers;
    const { engines, leavingEndpoints, service } = this.deployment;
    return {
      answers: await Promise.all(answers.map(each => each.ended)),
      postings: await Promise.all(postings.map(each => each.ended)),
      runs: service.runs,
      dispatches: engines.flatMap(dispatchRecordsOf),
      reclaimNotices: leavingEndpoints.map(({ address, announcedAtMs }) => ({
        endpoint: address,
        announcedAtMs,
      })),
      revisions: this.revisionObserver.revisions,
      badVersions: this.badVersions,
    };
  }
}

function dispatchRecordsOf({
  address,
  engine,
}: RunningEngine): readonly DispatchRecord[] {
  const { version } = engine.options;
  return engine.dispatches.map(dispatch => ({
    ...dispatch,
    version,
    endpoint: address,
  }));
}
