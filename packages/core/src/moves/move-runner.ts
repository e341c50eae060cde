import { LeaseKeeper } from '../leases/index.js';
import type {
  Clock,
  DaemonIdentity,
  KeyValueStore,
  Log,
  Metrics,
  PeerClient,
} from '../ports/index.js';
import { LogComponent, PlatformError } from '../ports/index.js';
import { selectCoordinators } from './coordinators.js';
import type { EvidenceReport } from './evidence.js';
import type {
  MoveEnding,
  MoveRecord,
  MoveSpec,
  RollbackDecision,
} from './move.js';
import { moveKey, MOVES_PREFIX, MoveState } from './move.js';
import type { MoveAction } from './move-action.js';
import { MoveActionKind } from './move-action.js';
import type { MoveController } from './move-controller.js';
import type { MoveRegistry } from './move-registry.js';
import {
  announceRecordMethod,
  exchangeRollbacksMethod,
  reportEvidenceMethod,
} from './peer-methods.js';

const CALL_TIMEOUT_MS = 1_000;
/** Interval at which the records are read to discover new moves. */
const DISCOVERY_INTERVAL_MS = 5_000;

const LEASE_MS = 6_000;
const LEASE_MARGIN_MS = 1_000;

export interface MoveRunnerDependencies {
  readonly self: DaemonIdentity;
  readonly board: MoveRegistry;
  readonly keyValue: KeyValueStore;
  readonly peer: PeerClient;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Live daemons, including this one. */
  readonly liveDaemons: () => readonly DaemonIdentity[];
}

/** Executes the actions of all move controllers of one daemon: peer calls, leases, writes and logs. */
export class MoveRunner {
  private readonly leases = new Map<string, LeaseKeeper>();
  private nextReadAtMs = 0;

  constructor(private readonly deps: MoveRunnerDependencies) {}

  /** Reads all records if due. Rethrows errors of the key-value service. */
  async readRecords(): Promise<void> {
    const { board, clock, keyValue } = this.deps;
    if (clock.nowMs() < this.nextReadAtMs && !this.coordinatesAnyRunningMove())
      return;
    this.nextReadAtMs = clock.nowMs() + DISCOVERY_INTERVAL_MS;
    const sentAtMs = clock.nowMs();
    const entries = await keyValue.list(
      MOVES_PREFIX,
      sentAtMs + CALL_TIMEOUT_MS,
    );
    for (const entry of entries) board.applyEntry(entry, clock.nowMs());
    for (const controller of board.controllers())
      controller.recordContact(sentAtMs);
  }

  /** Fetches the rollback decisions that were made while this daemon was not running. */
  async fetchRollbacks(): Promise<void> {
    const { board, self } = this.deps;
    const others = this.otherDaemons().filter(daemon => daemon.id !== self.id);
    await Promise.all(
      others.map(async other => {
        const rollbacks = await this.exchangeRollbacks(other);
        for (const decision of rollbacks) board.applyRollback(decision);
      }),
    );
  }

  /** Sends a group's record to every live daemon, so that none waits for its next read. */
  async announceRecord(group: string): Promise<void> {
    const { board, clock, peer } = this.deps;
    const entry = board.entryAfter(group, 0);
    if (entry === undefined) return;
    const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
    const calls = this.otherDaemons().map(other =>
      peer.call(
        other.peerAddress,
        announceRecordMethod,
        { entry },
        deadlineAtMs,
      ),
    );
    await Promise.allSettled(calls);
  }

  /** Runs one round for every move: reports evidence, decides and executes the actions. */
  async step(): Promise<void> {
    await Promise.all(
      this.deps.board
        .controllers()
        .map(controller => this.stepMove(controller)),
    );
  }

  /** Returns whether this daemon coordinates a running move and therefore reads its record on every call. */
  private coordinatesAnyRunningMove(): boolean {
    const { board, liveDaemons, self } = this.deps;
    const liveIds = liveDaemons().map(daemon => daemon.id);
    return board
      .controllers()
      .filter(controller => controller.record.state === MoveState.Running)
      .some(controller =>
        selectCoordinators(controller.record.spec.moveId, liveIds).includes(
          self.id,
        ),
      );
  }

  private otherDaemons(): readonly DaemonIdentity[] {
    const { liveDaemons, self } = this.deps;
    return liveDaemons().filter(daemon => daemon.id !== self.id);
  }

  private async stepMove(controller: MoveController): Promise<void> {
    const { clock, liveDaemons, self } = this.deps;
    const isRunning = controller.record.state === MoveState.Running;
    const { moveId } = controller.record.spec;
    const live = liveDaemons();
    const liveDaemonIds = live.map(daemon => daemon.id);
    const coordinators = selectCoordinators(moveId, liveDaemonIds);
    const coordinates = coordinators.includes(self.id);
    if (isRunning) {
      await this.sendReport(controller, coordinators, live);
      if (coordinates) await this.renewLease(moveId);
    }
    const holdsLease = this.leases.get(moveId)?.current() !== undefined;
    const context = { holdsLease, coordinates, liveDaemonIds };
    for (const action of controller.tick(clock.nowMs(), context)) {
      await this.execute(controller, action);
    }
  }

  private async sendReport(
    controller: MoveController,
    coordinators: readonly string[],
    live: readonly DaemonIdentity[],
  ): Promise<void> {
    const { clock, self } = this.deps;
    const report = controller.createReport(clock.nowMs());
    if (coordinators.includes(self.id)) controller.applyReport(report);
    if (live.length <= 1) controller.recordContact(clock.nowMs());
    const targets = live.filter(
      daemon => daemon.id !== self.id && coordinators.includes(daemon.id),
    );
    await Promise.all(
      targets.map(target => this.sendReportTo(controller, target, report)),
    );
  }

  private async sendReportTo(
    controller: MoveController,
    target: DaemonIdentity,
    report: EvidenceReport,
  ): Promise<void> {
    const { board, clock, peer } = this.deps;
    const sentAtMs = clock.nowMs();
    try {
      const response = await peer.call(
        target.peerAddress,
        reportEvidenceMethod,
        { report, recordVersion: controller.recordVersion },
        sentAtMs + CALL_TIMEOUT_MS,
      );
      controller.recordContact(sentAtMs);
      if (response.brake !== undefined) board.applyRollback(response.brake);
      if (response.entry !== undefined) {
        board.applyEntry(response.entry, clock.nowMs());
      }
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      this.deps.metrics.increment('moves.report_lost');
    }
  }

  private async renewLease(moveId: string): Promise<void> {
    const { clock, keyValue, self } = this.deps;
    let keeper = this.leases.get(moveId);
    if (keeper === undefined) {
      keeper = new LeaseKeeper(keyValue, clock, {
        name: `${MOVES_PREFIX}${moveId}`,
        holder: self.id,
        grantMs: LEASE_MS,
        marginMs: LEASE_MARGIN_MS,
      });
      this.leases.set(moveId, keeper);
    }
    await keeper.renew();
  }

  private async execute(
    controller: MoveController,
    action: MoveAction,
  ): Promise<void> {
    switch (action.kind) {
      case MoveActionKind.WriteRecord:
        await this.writeRecord(
          controller,
          action.record,
          action.expectedVersion,
        );
        return;
      case MoveActionKind.BroadcastRollback:
        await this.broadcastRollback(action.rollback);
        return;
      case MoveActionKind.ReportEnding:
        this.reportEnding(action.spec, action.ending);
    }
  }

  /** Writes by compare-and-swap and reads back the stored record, even if the write fails or its response is lost. */
  private async writeRecord(
    controller: MoveController,
    record: MoveRecord,
    expectedVersion: number,
  ): Promise<void> {
    const { board, clock, keyValue } = this.deps;
    const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
    const key = moveKey(controller.record.spec.group);
    const value = JSON.stringify(record);
    try {
      await keyValue.put({ key, value, expectedVersion, deadlineAtMs });
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
    }
    try {
      const entry = await keyValue.get(key, clock.nowMs() + CALL_TIMEOUT_MS);
      if (entry !== undefined) board.applyEntry(entry, clock.nowMs());
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
    }
  }

  private async broadcastRollback(decision: RollbackDecision): Promise<void> {
    const { board, log, metrics } = this.deps;
    board.applyRollback(decision);
    metrics.increment('moves.brake', 1, { group: decision.group });
    log.warn(LogComponent.Moves, `group ${decision.group} is rolled back`, {
      moveId: decision.moveId,
      reason: decision.reason,
      pulledBy: decision.daemonId,
    });
    await Promise.all(
      this.otherDaemons().map(other => this.exchangeRollbacks(other)),
    );
  }

  private async exchangeRollbacks(
    other: DaemonIdentity,
  ): Promise<readonly RollbackDecision[]> {
    const { board, clock, peer } = this.deps;
    const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
    const brakes = [...board.rollbackDecisions()];
    try {
      const response = await peer.call(
        other.peerAddress,
        exchangeRollbacksMethod,
        { brakes },
        deadlineAtMs,
      );
      return response.brakes;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      return [];
    }
  }

  private reportEnding(spec: MoveSpec, ending: MoveEnding): void {
    const { log, metrics } = this.deps;
    this.leases.delete(spec.moveId);
    const { group, moveId } = spec;
    metrics.increment('moves.ended', 1, { group, state: ending.state });
    log.info(
      LogComponent.Moves,
      `group ${group}: the move ended with state ${ending.state}`,
      {
        moveId,
        reason: ending.reason ?? 'no regression found',
        newRequests: ending.newRequests,
        unprovedKinds: ending.unprovedKinds.join(','),
      },
    );
  }
}
