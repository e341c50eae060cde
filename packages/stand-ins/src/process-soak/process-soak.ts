import { findViolations, SoakPlan } from '../gateway/index.js';
import { ColdFault, ColdFaults, findColdExcesses } from './cold-faults.js';
import { CrowdFault, CrowdFaults } from './crowd-faults.js';
import { DaemonFault, DaemonFaults } from './daemon-faults.js';
import { EndpointFaults, STREAM_EVENTS } from './endpoint-faults.js';
import {
  EvacuationFault,
  EvacuationFaults,
  findEvacuatedRuns,
  SOAK_DATA_CENTRES,
} from './evacuation-faults.js';
import type { ProcessCall, SoakAct } from './loss-checks.js';
import {
  ActKind,
  findFalseErrors,
  findLostRequests,
  findOverdueStops,
  isCrossing,
} from './loss-checks.js';
import { findLateWaits, findRefusedRuns } from './queue-checks.js';
import { SoakCallers } from './soak-callers.js';
import type { ProcessFault } from './soak-profile.js';
import {
  FAULTS_BY_PROFILE,
  hasQueue,
  SoakProfile,
  variantOf,
} from './soak-profile.js';
import { StoreFault, StoreFaults } from './store-faults.js';

/** Profiles in which a daemon may have to answer with an error of its own. */
const MAY_LOSE_ANSWERS: ReadonlySet<SoakProfile> = new Set([
  SoakProfile.All,
  SoakProfile.Evacuations,
  SoakProfile.Cold,
  SoakProfile.Crowd,
]);
/** Series of faults that run beside each other. */
const SERIES = 2;
/** Time before a request from which a report names what was done. */
const SHOWN_BEFORE_MS = 4_000;

/** What one run of a soak found. */
export interface SoakOutcome {
  readonly seed: number;
  /** Each violation with the request's record, what was done meanwhile and the daemons' log lines. */
  readonly violations: readonly string[];
  readonly requests: number;
  /** Requests that were sent as their connection ended, and were not passed on. */
  readonly crossings: number;
  readonly statuses: Readonly<Record<string, number>>;
  readonly acts: Readonly<Record<string, number>>;
}

/** Load on gateway daemons that are processes of their own, under overlapping faults from outside. */
export class ProcessSoak {
  private readonly plan: SoakPlan;
  private readonly endpoints: EndpointFaults;
  private readonly daemons: DaemonFaults;
  private readonly store: StoreFaults;
  private readonly evacuations: EvacuationFaults;
  private readonly cold: ColdFaults;
  private readonly crowds: CrowdFaults;
  private readonly callers: SoakCallers;
  private readonly acts: SoakAct[] = [];
  private readonly startedAtMs = performance.now();

  /** `program` is the path of the daemon's bundled program. */
  constructor(
    private readonly seed: number,
    program: string,
    private readonly profile = SoakProfile.All,
  ) {
    const record = (kind: ActKind, subject: string, detail = '') => {
      const fromMs = performance.now();
      const act = { kind, subject, detail, fromMs, untilMs: Infinity };
      this.acts.push(act);
      return act;
    };
    this.plan = new SoakPlan(seed);
    const variant = variantOf(profile, seed);
    this.endpoints = new EndpointFaults(
      this.plan,
      record,
      profile === SoakProfile.Evacuations ? SOAK_DATA_CENTRES : undefined,
      variant.entry,
      variant.reportedLoad,
    );
    const { deployment } = this.endpoints;
    this.daemons = new DaemonFaults(
      program,
      this.plan,
      record,
      deployment,
      variant,
    );
    this.store = new StoreFaults(this.plan, record, deployment);
    this.evacuations = new EvacuationFaults(this.plan, record, deployment);
    this.cold = new ColdFaults(record, this.endpoints);
    this.crowds = new CrowdFaults(this.plan, record, () => {
      const { daemon, processId } = this.daemons.pickRouted();
      return { processId, callersAddress: daemon.callersAddress };
    });
    this.callers = new SoakCallers(this.plan, () => this.daemons.pickRouted());
  }

  async run(durationMs: number): Promise<SoakOutcome> {
    const killAll = () => {
      this.daemons.killAll();
    };
    // Without listeners, a signal ends this process and leaves the daemons behind.
    const exit = () => process.exit(1);
    process.once('exit', killAll).once('SIGTERM', exit).once('SIGINT', exit);
    try {
      await this.endpoints.start();
      await this.daemons.start();
      const endAtMs = performance.now() + durationMs;
      const faults = FAULTS_BY_PROFILE[this.profile];
      const disturbances = Array.from({ length: SERIES }, () =>
        this.plan.disturb(endAtMs, faults, each => this.apply(each)),
      );
      await Promise.all([...disturbances, this.callers.run(endAtMs)]);
    } finally {
      this.crowds.destroy();
      await this.daemons.destroy();
      await this.endpoints.destroy();
      process.off('exit', killAll).off('SIGTERM', exit).off('SIGINT', exit);
    }
    return this.outcome();
  }

  private apply(fault: ProcessFault): Promise<void> {
    if (isOneOf(DaemonFault, fault)) return this.daemons.apply(fault);
    if (isOneOf(EvacuationFault, fault)) return this.evacuations.evacuate();
    if (isOneOf(ColdFault, fault)) return this.cold.becomeCold();
    if (isOneOf(CrowdFault, fault)) return this.crowds.apply(fault);
    return isOneOf(StoreFault, fault)
      ? this.store.apply(fault)
      : this.endpoints.apply(fault);
  }

  private outcome(): SoakOutcome {
    const { acts, seed } = this;
    const { calls } = this.callers;
    const { deployment, drainedAtMs } = this.endpoints;
    const runs = deployment.endpoints.flatMap(endpoint =>
      endpoint.runs.map(({ endedAtMs, readAtMs, requestId }) => ({
        requestId,
        endpointId: endpoint.id,
        atMs: readAtMs,
        endedAtMs,
      })),
    );
    const kills = acts.filter(({ kind }) => kind === ActKind.Kill);
    const lines = [
      ...findOverdueStops(acts),
      ...findLostRequests({ calls, runs, acts }),
      ...(MAY_LOSE_ANSWERS.has(this.profile)
        ? []
        : findFalseErrors({ calls, runs, acts })),
      ...(this.profile === SoakProfile.Cold
        ? findColdExcesses([...this.endpoints.startSpans, ...this.cold.spans])
        : []),
      ...(hasQueue(seed)
        ? [
            ...findLateWaits({ calls, runs, acts }),
            ...findRefusedRuns({ calls, runs, acts }),
          ]
        : []),
      ...findEvacuatedRuns(runs, acts, id => this.endpoints.dataCentreOf(id)),
      ...findViolations({
        calls,
        runs,
        limits: [],
        crashesAtMs: [],
        drainedAtMs,
        killedGateways: new Set(kills.map(({ subject }) => subject)),
        gatewayStartsAtMs: [],
        storeOutages: acts.filter(
          ({ kind }) =>
            kind === ActKind.StoreLink ||
            kind === ActKind.Store ||
            kind === ActKind.Freeze,
        ),
        streamEvents: STREAM_EVENTS,
      }),
    ];
    return {
      seed,
      violations: lines.map(line => `seed ${seed}: ${this.explain(line)}`),
      requests: calls.length,
      crossings: calls.filter(call => isCrossing(call)).length,
      statuses: countBy(calls, ({ status }) => String(status ?? 'none')),
      acts: countBy(acts, ({ kind }) => kind),
    };
  }

  /** Adds to a violation all that is known of its request. */
  private explain(line: string): string {
    const call = this.callers.calls.find(({ id }) => line.startsWith(`${id} `));
    if (call === undefined) return this.explainProcess(line);
    const { endedAtMs, error, gatewayId, isReused, startedAtMs, status } = call;
    const runs = this.endpoints.deployment.endpoints.flatMap(endpoint =>
      endpoint.runs
        .filter(run => run.requestId === call.id)
        .map(run => ({ endpointId: endpoint.id, ...run })),
    );
    const subjects = ['', gatewayId, ...runs.map(run => run.endpointId)];
    const fromMs = startedAtMs - SHOWN_BEFORE_MS;
    const acts = this.acts
      .filter(act => act.fromMs <= endedAtMs && act.untilMs >= fromMs)
      .filter(({ subject }) => subjects.includes(subject))
      .map(act => this.describe(act));
    const logs = this.daemons.daemons.flatMap(({ daemon }) =>
      daemon.lines.filter(each => each.includes(`"${call.id}"`)),
    );
    return [
      line,
      `at ${gatewayId}, ${isReused ? 'kept' : 'new'} connection: status ${status ?? 'none'}, ${error}`,
      `began ${this.at(startedAtMs)}, whole ${this.at(call.wholeAtMs)}, ended ${this.at(endedAtMs)}`,
      ...runs.map(
        run =>
          `ran at ${run.endpointId}, ${this.at(run.readAtMs)} to ${this.at(run.endedAtMs)}`,
      ),
      ...acts,
      ...logs,
    ].join('\n  ');
  }

  /** Adds to a violation of a daemon's process what was done to it and its last log lines. */
  private explainProcess(line: string): string {
    const subject = line.split(' ')[0] ?? '';
    const acts = this.acts.filter(act => act.subject === subject);
    const daemon = this.daemons.daemons.find(each =>
      subject.startsWith(`${each.daemon.id}/`),
    );
    const ends = daemon?.daemon.lines.filter(each =>
      /The daemon (is leaving|has st)/.test(each),
    );
    const shown = [...acts.map(act => this.describe(act)), ...(ends ?? [])];
    return [line, ...shown].join('\n  ');
  }

  private describe({ detail, kind, subject, ...act }: SoakAct): string {
    return `${kind} ${subject} ${detail}, ${this.at(act.fromMs)} to ${this.at(act.untilMs)}`;
  }

  private at(timeMs: ProcessCall['wholeAtMs']): string {
    return timeMs === undefined || timeMs === Infinity
      ? 'never'
      : `${Math.round(timeMs - this.startedAtMs)} ms`;
  }
}

function isOneOf<Fault extends ProcessFault>(
  faults: Readonly<Record<string, Fault>>,
  fault: ProcessFault,
): fault is Fault {
  return (Object.values(faults) as ProcessFault[]).includes(fault);
}

function countBy<Item>(
  items: readonly Item[],
  keyOf: (item: Item) => string,
): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const item of items)
    counts[keyOf(item)] = (counts[keyOf(item)] ?? 0) + 1;
  return counts;
}
