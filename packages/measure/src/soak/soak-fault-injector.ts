import { Fault } from '@skylarkreach/core/fakes';
import type { Clock, DataCentre, Random } from '@skylarkreach/core/ports';
import type {
  RunningDaemon,
  RunningEngine,
  ScenarioWorld,
} from '@skylarkreach/stand-ins';

/** Everything that a soak does to its deployment. */
export enum SoakFault {
  KillEngine = 'killEngine',
  KillDaemon = 'killDaemon',
  StopDaemon = 'stopDaemon',
  ReclaimDataCentre = 'reclaimDataCentre',
  KeyValueOutage = 'keyValueOutage',
  LoseWriteAnswer = 'loseWriteAnswer',
  SilenceConnections = 'silenceConnections',
  RefuseStarts = 'refuseStarts',
  TwoEdits = 'twoEdits',
}

const FAULTS = Object.values(SoakFault);
const OUTAGE_KINDS = [
  Fault.Down,
  Fault.Slow,
  Fault.Silent,
  Fault.AnswerLost,
  Fault.CallLost,
];
const MIN_ENGINES = 2;
const MIN_DAEMONS = 2;
const NOTICE_MS = 2_500;
const REPLACE_AFTER_MS = 700;
const MIN_OUTAGE_MS = 300;
const OUTAGE_SPREAD_MS = 2_500;
const REFUSAL_MS = 2_000;

/** Injects random faults, and replaces what was taken away. */
export class SoakFaults {
  readonly counts = new Map<SoakFault, number>();
  private readonly clock: Clock;
  private readonly open = new Set<Promise<unknown>>();
  private doomed: DataCentre | undefined;
  private refusesStarts = false;
  private lines = 0;

  constructor(
    private readonly world: ScenarioWorld,
    private readonly random: Random,
    private readonly dataCentres: readonly DataCentre[],
  ) {
    this.clock = world.deployment.clock;
  }

  /** Begins one random fault; one that would leave too little running is passed over. */
  injectNext(): void {
    const fault = this.pick(FAULTS);
    if (fault === undefined || !this.inject(fault)) return;
    this.counts.set(fault, (this.counts.get(fault) ?? 0) + 1);
  }

  /** Resolves once every fault has passed and every replacement runs. */
  async ended(): Promise<void> {
    while (this.open.size > 0) await Promise.all(this.open);
  }

  private inject(fault: SoakFault): boolean {
    switch (fault) {
      case SoakFault.KillEngine:
        return this.killEngine();
      case SoakFault.KillDaemon:
        return this.removeDaemon(each => this.world.killDaemon(each));
      case SoakFault.StopDaemon:
        return this.removeDaemon(each => this.stopDaemon(each));
      case SoakFault.ReclaimDataCentre:
        return this.reclaim();
      case SoakFault.KeyValueOutage:
        return this.breakKeyValue();
      case SoakFault.LoseWriteAnswer:
        void this.world.faults.loseNextWriteAnswer();
        this.world.traceFault('key-value service', 'loses a write answer');
        return true;
      case SoakFault.SilenceConnections:
        return this.silence();
      case SoakFault.RefuseStarts:
        return this.refuseStarts();
      case SoakFault.TwoEdits:
        this.track(this.editTwice());
        return true;
    }
  }

  private killEngine(): boolean {
    const safe = this.safeEngines();
    const killed = this.pick(safe);
    if (killed === undefined || safe.length <= MIN_ENGINES) return false;
    this.world.killEngine(killed);
    this.track(this.replaceEngine(killed.dataCentre));
    return true;
  }

  private removeDaemon(
    remove: (daemon: RunningDaemon) => Promise<void>,
  ): boolean {
    const safe = this.safeDaemons();
    const removed = this.pick(safe);
    if (removed === undefined || safe.length <= MIN_DAEMONS) return false;
    this.track(remove(removed));
    this.track(this.replaceDaemon(removed.dataCentre));
    return true;
  }

  private stopDaemon(stopped: RunningDaemon): Promise<void> {
    this.world.traceFault(stopped.id, 'is stopped gracefully');
    return this.world.deployment.stopDaemon(stopped);
  }

  private reclaim(): boolean {
    const dataCentre = this.pick(this.dataCentres);
    if (dataCentre === undefined || this.doomed !== undefined) return false;
    const remain = (each: { readonly dataCentre: DataCentre }) =>
      each.dataCentre !== dataCentre;
    const daemonsLeft = this.safeDaemons().filter(remain);
    const enginesLeft = this.safeEngines().filter(remain);
    const tooFew =
      daemonsLeft.length < MIN_DAEMONS || enginesLeft.length < MIN_ENGINES;
    if (tooFew) return false;
    this.doomed = dataCentre;
    this.track(this.reclaimAndReplace(dataCentre));
    return true;
  }

  private async reclaimAndReplace(dataCentre: DataCentre): Promise<void> {
    await this.world.reclaim(dataCentre, NOTICE_MS);
    this.doomed = undefined;
    const replacements = [0, 1].flatMap(() => [
      this.replaceEngine(dataCentre),
      this.replaceDaemon(dataCentre),
    ]);
    await Promise.all(replacements);
  }

  private breakKeyValue(): boolean {
    if (this.world.faults.standing !== Fault.None) return false;
    const fault = this.pick(OUTAGE_KINDS) ?? Fault.Down;
    const lengthMs = MIN_OUTAGE_MS + this.random.nextInteger(OUTAGE_SPREAD_MS);
    this.world.setKeyValueFault(fault);
    const end = async () => {
      await this.wait(lengthMs);
      this.world.setKeyValueFault(Fault.None);
    };
    this.track(end());
    return true;
  }

  private silence(): boolean {
    const count = this.world.balancer.silence();
    this.world.traceFault('balancer', `${count} connections go silent`);
    return true;
  }

  private refuseStarts(): boolean {
    if (this.refusesStarts) return false;
    this.refusesStarts = true;
    this.world.traceFault('cloud', 'refuses starts');
    const end = async () => {
      await this.wait(REFUSAL_MS);
      this.refusesStarts = false;
    };
    this.track(end());
    return true;
  }

  private async editTwice(): Promise<void> {
    const { daemons } = this.world.deployment;
    await Promise.allSettled(
      [daemons.at(0), daemons.at(-1)].map(daemon => this.addLine(daemon)),
    );
  }

  private async addLine(daemon: RunningDaemon | undefined): Promise<void> {
    this.lines += 1;
    const line = `kind=soak-${this.lines} target=ruling-model # operations, soak`;
    const address = daemon?.addresses.operators ?? '';
    const base = await this.world.operators.readRules(address);
    await this.world.operators.addRule(address, base, line);
  }

  private async replaceEngine(dataCentre: DataCentre): Promise<void> {
    await this.waitForStart();
    await this.world.deployment.addEngine(this.placeOf(dataCentre));
  }

  private async replaceDaemon(dataCentre: DataCentre): Promise<void> {
    await this.waitForStart();
    const place = this.placeOf(dataCentre);
    const { addresses, id } = await this.world.deployment.addDaemon(place);
    this.world.traceFault(id, `${addresses.callers} starts in ${place}`);
  }

  private async waitForStart(): Promise<void> {
    do await this.wait(REPLACE_AFTER_MS);
    while (this.refusesStarts);
  }

  /** The data centre itself, or another while it is being reclaimed. */
  private placeOf(dataCentre: DataCentre): DataCentre {
    if (dataCentre !== this.doomed) return dataCentre;
    return this.dataCentres.find(each => each !== this.doomed) ?? dataCentre;
  }

  private safeEngines(): readonly RunningEngine[] {
    const engines = this.world.deployment.liveEngines();
    return engines.filter(each => each.dataCentre !== this.doomed);
  }

  private safeDaemons(): readonly RunningDaemon[] {
    const { daemons } = this.world.deployment;
    return daemons.filter(each => each.dataCentre !== this.doomed);
  }

  private wait(delayMs: number): Promise<void> {
    return this.clock.waitUntil(this.clock.nowMs() + delayMs);
  }

  private pick<T>(items: readonly T[]): T | undefined {
    return items[this.random.nextInteger(items.length)];
  }

  private track(work: Promise<unknown>): void {
    this.open.add(work);
    void work.finally(() => this.open.delete(work));
  }
}
