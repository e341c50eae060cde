import { Fault } from '@skylarkreach/core/fakes';
import type { Clock, DataCentre, Random } from '@skylarkreach/core/ports';
import type {
  RunningDaemon,
  RunningEngine,
  ScenarioWorld,
} from '@skylarkreach/stand-ins';

/** Faults that the soak injects into its deployment. */
export enum SoakFault {
  KillEngine = 'killEngine',
  KillDaemon = 'killDaemon',
  StopDaemon = 'stopDaemon',
  ReclaimDataCentre = 'reclaimDataCentre',
  KeyValueOutage = 'keyValueOutage',
  LoseWriteResponse = 'loseWriteAnswer',
  SilenceConnections = 'silenceConnections',
  RefuseStarts = 'refuseStarts',
  ConcurrentEdits = 'twoEdits',
}

const FAULTS = Object.values(SoakFault);
const OUTAGE_FAULTS = [
  Fault.Down,
  Fault.Slow,
  Fault.Silent,
  Fault.AnswerLost,
  Fault.CallLost,
];
const MIN_ENGINES = 2;
const MIN_DAEMONS = 2;
const RECLAIM_NOTICE_MS = 2_500;
const REPLACEMENT_DELAY_MS = 700;
const MIN_OUTAGE_MS = 300;
const OUTAGE_SPREAD_MS = 2_500;
const START_REFUSAL_DURATION_MS = 2_000;

/** Injects random faults and replaces the engines and daemons that they remove. */
export class SoakFaultInjector {
  readonly counts = new Map<SoakFault, number>();
  private readonly clock: Clock;
  private readonly pendingWork = new Set<Promise<unknown>>();
  private dataCentreBeingReclaimed: DataCentre | undefined;
  private isRefusingStarts = false;
  private addedRules = 0;

  constructor(
    private readonly world: ScenarioWorld,
    private readonly random: Random,
    private readonly dataCentres: readonly DataCentre[],
  ) {
    this.clock = world.deployment.clock;
  }

  /** Injects one random fault, or none if the fault would leave too few daemons or engines or is already active. */
  injectNext(): void {
    const fault = this.pickRandom(FAULTS);
    if (fault === undefined || !this.inject(fault)) return;
    this.counts.set(fault, (this.counts.get(fault) ?? 0) + 1);
  }

  /** Resolves once all faults have ended and all replacements are running. */
  async waitUntilSettled(): Promise<void> {
    while (this.pendingWork.size > 0) await Promise.all(this.pendingWork);
  }

  private inject(fault: SoakFault): boolean {
    switch (fault) {
      case SoakFault.KillEngine:
        return this.killEngine();
      case SoakFault.KillDaemon:
        return this.removeDaemon(daemon => this.world.killDaemon(daemon));
      case SoakFault.StopDaemon:
        return this.removeDaemon(daemon => this.stopDaemon(daemon));
      case SoakFault.ReclaimDataCentre:
        return this.startReclaim();
      case SoakFault.KeyValueOutage:
        return this.startKeyValueOutage();
      case SoakFault.LoseWriteResponse:
        void this.world.faults.loseNextWriteResponse();
        this.world.traceFault(
          'key-value service',
          'loses the response of the next write',
        );
        return true;
      case SoakFault.SilenceConnections:
        return this.silenceConnections();
      case SoakFault.RefuseStarts:
        return this.startRefusingStarts();
      case SoakFault.ConcurrentEdits:
        this.track(this.addRulesConcurrently());
        return true;
    }
  }

  private killEngine(): boolean {
    const candidates = this.engineCandidates();
    const killed = this.pickRandom(candidates);
    if (killed === undefined || candidates.length <= MIN_ENGINES) return false;
    this.world.killEngine(killed);
    this.track(this.replaceEngine(killed.dataCentre));
    return true;
  }

  private removeDaemon(
    remove: (daemon: RunningDaemon) => Promise<void>,
  ): boolean {
    const candidates = this.daemonCandidates();
    const removed = this.pickRandom(candidates);
    if (removed === undefined || candidates.length <= MIN_DAEMONS) return false;
    this.track(remove(removed));
    this.track(this.replaceDaemon(removed.dataCentre));
    return true;
  }

  private stopDaemon(stopped: RunningDaemon): Promise<void> {
    this.world.traceFault(stopped.id, 'is stopped gracefully');
    return this.world.deployment.stopDaemon(stopped);
  }

  private startReclaim(): boolean {
    const dataCentre = this.pickRandom(this.dataCentres);
    if (dataCentre === undefined || this.dataCentreBeingReclaimed !== undefined)
      return false;
    const isOutside = (target: { readonly dataCentre: DataCentre }) =>
      target.dataCentre !== dataCentre;
    const daemonsLeft = this.daemonCandidates().filter(isOutside);
    const enginesLeft = this.engineCandidates().filter(isOutside);
    const tooFew =
      daemonsLeft.length < MIN_DAEMONS || enginesLeft.length < MIN_ENGINES;
    if (tooFew) return false;
    this.dataCentreBeingReclaimed = dataCentre;
    this.track(this.reclaimAndReplace(dataCentre));
    return true;
  }

  private async reclaimAndReplace(dataCentre: DataCentre): Promise<void> {
    await this.world.reclaim(dataCentre, RECLAIM_NOTICE_MS);
    this.dataCentreBeingReclaimed = undefined;
    const replacements = [0, 1].flatMap(() => [
      this.replaceEngine(dataCentre),
      this.replaceDaemon(dataCentre),
    ]);
    await Promise.all(replacements);
  }

  private startKeyValueOutage(): boolean {
    if (this.world.faults.persistentFault !== Fault.None) return false;
    const fault = this.pickRandom(OUTAGE_FAULTS) ?? Fault.Down;
    const durationMs =
      MIN_OUTAGE_MS + this.random.nextInteger(OUTAGE_SPREAD_MS);
    this.world.setKeyValueFault(fault);
    const end = async () => {
      await this.waitFor(durationMs);
      this.world.setKeyValueFault(Fault.None);
    };
    this.track(end());
    return true;
  }

  private silenceConnections(): boolean {
    const count = this.world.balancer.stallConnections();
    this.world.traceFault(
      'balancer',
      `${count} connections stop transferring data`,
    );
    return true;
  }

  private startRefusingStarts(): boolean {
    if (this.isRefusingStarts) return false;
    this.isRefusingStarts = true;
    this.world.traceFault('cloud', 'refuses to start instances');
    const end = async () => {
      await this.waitFor(START_REFUSAL_DURATION_MS);
      this.isRefusingStarts = false;
    };
    this.track(end());
    return true;
  }

  private async addRulesConcurrently(): Promise<void> {
    const { daemons } = this.world.deployment;
    await Promise.allSettled(
      [daemons.at(0), daemons.at(-1)].map(daemon => this.addRule(daemon)),
    );
  }

  private async addRule(daemon: RunningDaemon | undefined): Promise<void> {
    this.addedRules += 1;
    const line = `kind=soak-${this.addedRules} target=ruling-model # operations, soak`;
    const address = daemon?.addresses.operators ?? '';
    const baseRules = await this.world.operators.readRules(address);
    await this.world.operators.addRule(address, baseRules, line);
  }

  private async replaceEngine(dataCentre: DataCentre): Promise<void> {
    await this.waitForStart();
    await this.world.deployment.addEngine(this.chooseDataCentre(dataCentre));
  }

  private async replaceDaemon(dataCentre: DataCentre): Promise<void> {
    await this.waitForStart();
    const replacementDataCentre = this.chooseDataCentre(dataCentre);
    const { addresses, id } = await this.world.deployment.addDaemon(
      replacementDataCentre,
    );
    this.world.traceFault(
      id,
      `${addresses.callers} starts in ${replacementDataCentre}`,
    );
  }

  private async waitForStart(): Promise<void> {
    do await this.waitFor(REPLACEMENT_DELAY_MS);
    while (this.isRefusingStarts);
  }

  /** Returns the given data centre, or another one while it is being reclaimed. */
  private chooseDataCentre(dataCentre: DataCentre): DataCentre {
    if (dataCentre !== this.dataCentreBeingReclaimed) return dataCentre;
    return (
      this.dataCentres.find(other => other !== this.dataCentreBeingReclaimed) ??
      dataCentre
    );
  }

  private engineCandidates(): readonly RunningEngine[] {
    const engines = this.world.deployment.runningEngines();
    return engines.filter(
      engine => engine.dataCentre !== this.dataCentreBeingReclaimed,
    );
  }

  private daemonCandidates(): readonly RunningDaemon[] {
    const { daemons } = this.world.deployment;
    return daemons.filter(
      daemon => daemon.dataCentre !== this.dataCentreBeingReclaimed,
    );
  }

  private waitFor(delayMs: number): Promise<void> {
    return this.clock.waitUntil(this.clock.nowMs() + delayMs);
  }

  private pickRandom<T>(items: readonly T[]): T | undefined {
    return items[this.random.nextInteger(items.length)];
  }

  private track(work: Promise<unknown>): void {
    this.pendingWork.add(work);
    void work.finally(() => this.pendingWork.delete(work));
  }
}
