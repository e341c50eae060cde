import type {
  EvidenceReport,
  MoveEnding,
  MoveRecord,
  MoveSpec,
  RequestResult,
  RollbackDecision,
} from '@skylarkreach/core/moves';
import {
  createMoveRecord,
  MoveActionKind,
  MoveController,
  selectCoordinators,
} from '@skylarkreach/core/moves';
import type { Random } from '@skylarkreach/core/ports';

const LEASE_MS = 6_000;
const LEASE_MARGIN_MS = 1_000;
const MESSAGE_LOSS = 0.02;
const ANSWER_LOSS = 0.05;
const MIN_LAG_MS = 50;
const LAG_SPREAD_MS = 700;
const WATCH_LAG_MS = 300;

/** A span of time in which something is out of order. */
export interface Outage {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Faults of one simulated move, besides those of the version. */
export interface WorldFaults {
  readonly keyValueOutage?: Outage;
  readonly holderPause?: Outage;
  readonly daemonRestart?: Outage;
}

interface SimulatedDaemon {
  readonly id: string;
  controller: MoveController;
  leaseUntilMs: number;
  pausedUntilMs: number;
  isDown: boolean;
}

interface Message {
  readonly atMs: number;
  readonly deliver: () => void;
}

/** An ending as a daemon reported it. */
export interface ReportedEnding {
  readonly daemonId: string;
  readonly ending: MoveEnding;
}

/** Daemons of one move with their messages, lease and key-value service, all by simulated time. */
export class MoveWorld {
  readonly endings: ReportedEnding[] = [];
  firstBrake: RollbackDecision | undefined;
  readonly daemons: SimulatedDaemon[];
  private stored: { record: MoveRecord; version: number; writtenAtMs: number };
  private lease = { holder: '', expiresAtMs: 0 };
  private messages: Message[] = [];

  constructor(
    private readonly spec: MoveSpec,
    daemonCount: number,
    private readonly random: Random,
    private readonly faults: WorldFaults,
  ) {
    const record = createMoveRecord(spec);
    const writtenAtMs = spec.startedAtMs;
    this.stored = { record, version: 1, writtenAtMs };
    this.daemons = Array.from({ length: daemonCount }, (_, index) => ({
      id: `daemon-${index + 1}`,
      controller: this.newController(`daemon-${index + 1}`, writtenAtMs),
      leaseUntilMs: 0,
      pausedUntilMs: 0,
      isDown: false,
    }));
  }

  get record(): MoveRecord {
    return this.stored.record;
  }

  /** True where the daemon serves at the time. */
  serves(daemon: SimulatedDaemon, nowMs: number): boolean {
    return !daemon.isDown && nowMs >= daemon.pausedUntilMs;
  }

  recordResult(daemon: SimulatedDaemon, result: RequestResult): void {
    if (!daemon.isDown) daemon.controller.recordResult(result);
  }

  /** One second of control at every daemon. */
  step(nowMs: number): void {
    this.applyFaults(nowMs);
    this.deliver(nowMs);
    const liveIds = this.daemons
      .filter(daemon => !daemon.isDown)
      .map(daemon => daemon.id);
    const coordinators = selectCoordinators(this.spec.moveId, liveIds);
    for (const daemon of this.daemons) {
      if (!this.serves(daemon, nowMs)) continue;
      this.readRecord(daemon, nowMs);
      this.sendReport(daemon, coordinators, nowMs);
      const coordinates = coordinators.includes(daemon.id);
      if (coordinates) this.renewLease(daemon, nowMs);
      const holdsLease = nowMs < daemon.leaseUntilMs - LEASE_MARGIN_MS;
      const liveDaemonIds = liveIds;
      const context = { holdsLease, coordinates, liveDaemonIds };
      this.execute(daemon, nowMs, context);
    }
  }

  private newController(id: string, nowMs: number): MoveController {
    const { record, version } = this.stored;
    return new MoveController(id, record, version, nowMs);
  }

  private isKeyValueUp(nowMs: number): boolean {
    return !isWithin(this.faults.keyValueOutage, nowMs);
  }

  private applyFaults(nowMs: number): void {
    const { daemonRestart, holderPause } = this.faults;
    const victim = this.daemons[this.daemons.length - 1];
    if (victim !== undefined) {
      const isDown = isWithin(daemonRestart, nowMs);
      if (victim.isDown && !isDown) this.restart(victim, nowMs);
      victim.isDown = isDown;
    }
    if (!isWithin(holderPause, nowMs)) return;
    const holder = this.daemons.find(each => each.id === this.lease.holder);
    const untilMs = holderPause?.untilMs ?? 0;
    if (this.daemons.every(each => each.pausedUntilMs < untilMs) && holder) {
      holder.pausedUntilMs = untilMs;
    }
  }

  /** A restarted daemon knows what the key-value service or its peers tell it. */
  private restart(daemon: SimulatedDaemon, nowMs: number): void {
    daemon.controller = this.newController(daemon.id, nowMs);
    const peer = this.daemons.find(
      each => each !== daemon && this.serves(each, nowMs),
    );
    const brake = peer?.controller.rollbackDecision;
    if (brake !== undefined) daemon.controller.applyRollback(brake);
  }

  private deliver(nowMs: number): void {
    const due = this.messages.filter(message => message.atMs <= nowMs);
    this.messages = this.messages.filter(message => message.atMs > nowMs);
    for (const message of due) message.deliver();
  }

  private send(
    to: SimulatedDaemon,
    nowMs: number,
    deliver: (atMs: number) => void,
  ): void {
    if (this.random.nextFloat() < MESSAGE_LOSS) return;
    const atMs = nowMs + MIN_LAG_MS + this.random.nextFloat() * LAG_SPREAD_MS;
    this.messages.push({
      atMs,
      deliver: () => {
        if (this.serves(to, atMs)) deliver(atMs);
      },
    });
  }

  private readRecord(daemon: SimulatedDaemon, nowMs: number): void {
    if (!this.isKeyValueUp(nowMs)) return;
    if (nowMs < this.stored.writtenAtMs + WATCH_LAG_MS) return;
    daemon.controller.applyRecord(this.stored.record, this.stored.version);
    daemon.controller.recordContact(nowMs);
  }

  private sendReport(
    daemon: SimulatedDaemon,
    coordinators: readonly string[],
    nowMs: number,
  ): void {
    const report = daemon.controller.createReport(nowMs);
    for (const coordinator of this.daemons) {
      if (!coordinators.includes(coordinator.id)) continue;
      if (coordinator === daemon) daemon.controller.applyReport(report);
      else this.sendTo(coordinator, daemon, report, nowMs);
    }
  }

  private sendTo(
    coordinator: SimulatedDaemon,
    daemon: SimulatedDaemon,
    report: EvidenceReport,
    nowMs: number,
  ): void {
    this.send(coordinator, nowMs, atMs => {
      coordinator.controller.applyReport(report);
      const brake = coordinator.controller.rollbackDecision;
      this.send(daemon, atMs, () => {
        daemon.controller.recordContact(nowMs);
        if (brake !== undefined) daemon.controller.applyRollback(brake);
      });
    });
  }

  private renewLease(daemon: SimulatedDaemon, nowMs: number): void {
    if (!this.isKeyValueUp(nowMs)) return;
    const isFree = nowMs >= this.lease.expiresAtMs;
    if (!isFree && this.lease.holder !== daemon.id) return;
    this.lease = { holder: daemon.id, expiresAtMs: nowMs + LEASE_MS };
    daemon.leaseUntilMs = nowMs + LEASE_MS;
  }

  private execute(
    daemon: SimulatedDaemon,
    nowMs: number,
    context: Parameters<MoveController['tick']>[1],
  ): void {
    for (const action of daemon.controller.tick(nowMs, context)) {
      switch (action.kind) {
        case MoveActionKind.WriteRecord:
          this.write(daemon, action.record, action.expectedVersion, nowMs);
          break;
        case MoveActionKind.BroadcastRollback:
          this.spread(daemon, action.rollback, nowMs);
          break;
        case MoveActionKind.ReportEnding:
          this.endings.push({ daemonId: daemon.id, ending: action.ending });
          break;
      }
    }
  }

  private write(
    daemon: SimulatedDaemon,
    record: MoveRecord,
    expectedVersion: number,
    nowMs: number,
  ): void {
    if (!this.isKeyValueUp(nowMs)) return;
    if (this.stored.version === expectedVersion) {
      const version = expectedVersion + 1;
      this.stored = { record, version, writtenAtMs: nowMs };
    }
    if (this.random.nextFloat() < ANSWER_LOSS) return;
    daemon.controller.applyRecord(this.stored.record, this.stored.version);
  }

  private spread(
    daemon: SimulatedDaemon,
    brake: RollbackDecision,
    nowMs: number,
  ): void {
    this.firstBrake ??= brake;
    for (const other of this.daemons) {
      if (other === daemon) continue;
      this.send(other, nowMs, () => {
        other.controller.applyRollback(brake);
      });
    }
  }
}

function isWithin(outage: Outage | undefined, nowMs: number): boolean {
  if (outage === undefined) return false;
  return nowMs >= outage.fromMs && nowMs < outage.untilMs;
}
