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

const LEASE_DURATION_MS = 6_000;
const LEASE_MARGIN_MS = 1_000;
const MESSAGE_LOSS_PROBABILITY = 0.02;
const WRITE_RESPONSE_LOSS_PROBABILITY = 0.05;
const MIN_MESSAGE_DELAY_MS = 50;
const MESSAGE_DELAY_SPREAD_MS = 700;
const WATCH_DELAY_MS = 300;

/** Time window during which an injected fault is active. */
export interface FaultWindow {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Infrastructure faults of one simulated move; faults of the version are in `FaultModel`. */
export interface ClusterFaults {
  readonly keyValueOutage?: FaultWindow;
  readonly leaseHolderPause?: FaultWindow;
  readonly daemonRestart?: FaultWindow;
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

/** Ending of a move as reported by one daemon. */
export interface ReportedEnding {
  readonly daemonId: string;
  readonly ending: MoveEnding;
}

/** Daemons that run one move, with their network, lease and key-value service, in simulated time. */
export class SimulatedCluster {
  readonly endings: ReportedEnding[] = [];
  firstRollback: RollbackDecision | undefined;
  readonly daemons: SimulatedDaemon[];
  private stored: { record: MoveRecord; version: number; writtenAtMs: number };
  private lease = { holder: '', expiresAtMs: 0 };
  private messages: Message[] = [];

  constructor(
    private readonly spec: MoveSpec,
    daemonCount: number,
    private readonly random: Random,
    private readonly faults: ClusterFaults,
  ) {
    const record = createMoveRecord(spec);
    const writtenAtMs = spec.startedAtMs;
    this.stored = { record, version: 1, writtenAtMs };
    this.daemons = Array.from({ length: daemonCount }, (_, index) => ({
      id: `daemon-${index + 1}`,
      controller: this.createController(`daemon-${index + 1}`, writtenAtMs),
      leaseUntilMs: 0,
      pausedUntilMs: 0,
      isDown: false,
    }));
  }

  get record(): MoveRecord {
    return this.stored.record;
  }

  /** Returns whether the daemon is running and not paused. */
  isServing(daemon: SimulatedDaemon, nowMs: number): boolean {
    return !daemon.isDown && nowMs >= daemon.pausedUntilMs;
  }

  recordResult(daemon: SimulatedDaemon, result: RequestResult): void {
    if (!daemon.isDown) daemon.controller.recordResult(result);
  }

  /** Runs one control cycle of every daemon that is serving; called once per simulated second. */
  step(nowMs: number): void {
    this.applyFaults(nowMs);
    this.deliverMessages(nowMs);
    const liveIds = this.daemons
      .filter(daemon => !daemon.isDown)
      .map(daemon => daemon.id);
    const coordinators = selectCoordinators(this.spec.moveId, liveIds);
    for (const daemon of this.daemons) {
      if (!this.isServing(daemon, nowMs)) continue;
      this.readRecord(daemon, nowMs);
      this.sendReport(daemon, coordinators, nowMs);
      const coordinates = coordinators.includes(daemon.id);
      if (coordinates) this.renewLease(daemon, nowMs);
      const holdsLease = nowMs < daemon.leaseUntilMs - LEASE_MARGIN_MS;
      const liveDaemonIds = liveIds;
      const context = { holdsLease, coordinates, liveDaemonIds };
      this.executeActions(daemon, nowMs, context);
    }
  }

  private createController(id: string, nowMs: number): MoveController {
    const { record, version } = this.stored;
    return new MoveController(id, record, version, nowMs);
  }

  private isKeyValueUp(nowMs: number): boolean {
    return !isWithin(this.faults.keyValueOutage, nowMs);
  }

  private applyFaults(nowMs: number): void {
    const { daemonRestart, leaseHolderPause } = this.faults;
    const restarting = this.daemons[this.daemons.length - 1];
    if (restarting !== undefined) {
      const isDown = isWithin(daemonRestart, nowMs);
      if (restarting.isDown && !isDown) this.restart(restarting, nowMs);
      restarting.isDown = isDown;
    }
    if (!isWithin(leaseHolderPause, nowMs)) return;
    const leaseHolder = this.daemons.find(
      daemon => daemon.id === this.lease.holder,
    );
    const untilMs = leaseHolderPause?.untilMs ?? 0;
    if (
      this.daemons.every(daemon => daemon.pausedUntilMs < untilMs) &&
      leaseHolder
    ) {
      leaseHolder.pausedUntilMs = untilMs;
    }
  }

  /** Replaces the controller of a restarted daemon, which recovers its state from the stored record and from one peer. */
  private restart(daemon: SimulatedDaemon, nowMs: number): void {
    daemon.controller = this.createController(daemon.id, nowMs);
    const peer = this.daemons.find(
      other => other !== daemon && this.isServing(other, nowMs),
    );
    const rollback = peer?.controller.rollbackDecision;
    if (rollback !== undefined) daemon.controller.applyRollback(rollback);
  }

  private deliverMessages(nowMs: number): void {
    const due = this.messages.filter(message => message.atMs <= nowMs);
    this.messages = this.messages.filter(message => message.atMs > nowMs);
    for (const message of due) message.deliver();
  }

  private send(
    to: SimulatedDaemon,
    nowMs: number,
    deliver: (atMs: number) => void,
  ): void {
    if (this.random.nextFloat() < MESSAGE_LOSS_PROBABILITY) return;
    const atMs =
      nowMs +
      MIN_MESSAGE_DELAY_MS +
      this.random.nextFloat() * MESSAGE_DELAY_SPREAD_MS;
    this.messages.push({
      atMs,
      deliver: () => {
        if (this.isServing(to, atMs)) deliver(atMs);
      },
    });
  }

  private readRecord(daemon: SimulatedDaemon, nowMs: number): void {
    if (!this.isKeyValueUp(nowMs)) return;
    if (nowMs < this.stored.writtenAtMs + WATCH_DELAY_MS) return;
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
      else this.sendReportTo(coordinator, daemon, report, nowMs);
    }
  }

  private sendReportTo(
    coordinator: SimulatedDaemon,
    daemon: SimulatedDaemon,
    report: EvidenceReport,
    nowMs: number,
  ): void {
    this.send(coordinator, nowMs, atMs => {
      coordinator.controller.applyReport(report);
      const rollback = coordinator.controller.rollbackDecision;
      this.send(daemon, atMs, () => {
        daemon.controller.recordContact(nowMs);
        if (rollback !== undefined) daemon.controller.applyRollback(rollback);
      });
    });
  }

  private renewLease(daemon: SimulatedDaemon, nowMs: number): void {
    if (!this.isKeyValueUp(nowMs)) return;
    const isFree = nowMs >= this.lease.expiresAtMs;
    if (!isFree && this.lease.holder !== daemon.id) return;
    this.lease = { holder: daemon.id, expiresAtMs: nowMs + LEASE_DURATION_MS };
    daemon.leaseUntilMs = nowMs + LEASE_DURATION_MS;
  }

  private executeActions(
    daemon: SimulatedDaemon,
    nowMs: number,
    context: Parameters<MoveController['tick']>[1],
  ): void {
    for (const action of daemon.controller.tick(nowMs, context)) {
      switch (action.kind) {
        case MoveActionKind.WriteRecord:
          this.writeRecord(
            daemon,
            action.record,
            action.expectedVersion,
            nowMs,
          );
          break;
        case MoveActionKind.BroadcastRollback:
          this.broadcastRollback(daemon, action.rollback, nowMs);
          break;
        case MoveActionKind.ReportEnding:
          this.endings.push({ daemonId: daemon.id, ending: action.ending });
          break;
      }
    }
  }

  private writeRecord(
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
    if (this.random.nextFloat() < WRITE_RESPONSE_LOSS_PROBABILITY) return;
    daemon.controller.applyRecord(this.stored.record, this.stored.version);
  }

  private broadcastRollback(
    daemon: SimulatedDaemon,
    rollback: RollbackDecision,
    nowMs: number,
  ): void {
    this.firstRollback ??= rollback;
    for (const other of this.daemons) {
      if (other === daemon) continue;
      this.send(other, nowMs, () => {
        other.controller.applyRollback(rollback);
      });
    }
  }
}

function isWithin(window: FaultWindow | undefined, nowMs: number): boolean {
  if (window === undefined) return false;
  return nowMs >= window.fromMs && nowMs < window.untilMs;
}
