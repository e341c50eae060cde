import { LeaseKeeper } from '../leases/index.js';
import type {
  Clock,
  DaemonIdentity,
  KeyValue,
  Log,
  Metrics,
  Peer,
} from '../ports/index.js';
import { LogPart, PlatformError } from '../ports/index.js';
import { coordinatorsOf } from './coordinators.js';
import type { EvidenceReport } from './evidence.js';
import type { Brake, MoveEnding, MoveRecord, MoveSpec } from './move.js';
import { moveKey, MOVES_PREFIX, MoveState } from './move.js';
import type { MoveAction } from './move-action.js';
import { MoveActionKind } from './move-action.js';
import type { MoveBoard } from './move-board.js';
import type { MoveController } from './move-controller.js';
import { brakesMethod, recordMethod, reportMethod } from './peer-methods.js';

const CALL_TIMEOUT_MS = 1_000;
/** Time between two reads that look for new moves. */
const DISCOVERY_INTERVAL_MS = 5_000;

const LEASE_MS = 6_000;
const LEASE_MARGIN_MS = 1_000;

export interface MoveRunnerParts {
  readonly self: DaemonIdentity;
  readonly board: MoveBoard;
  readonly keyValue: KeyValue;
  readonly peer: Peer;
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Live daemons, this one included. */
  readonly liveDaemons: () => readonly DaemonIdentity[];
}

/** Carries out what the moves' controllers decide. */
export class MoveRunner {
  private readonly leases = new Map<string, LeaseKeeper>();
  private nextReadAtMs = 0;

  constructor(private readonly parts: MoveRunnerParts) {}

  /** Reads all records when that is due. Throws the key-value service's errors. */
  async readRecords(): Promise<void> {
    const { board, clock, keyValue } = this.parts;
    if (clock.nowMs() < this.nextReadAtMs && !this.coordinatesAny()) return;
    this.nextReadAtMs = clock.nowMs() + DISCOVERY_INTERVAL_MS;
    const sentAtMs = clock.nowMs();
    const entries = await keyValue.list(
      MOVES_PREFIX,
      sentAtMs + CALL_TIMEOUT_MS,
    );
    for (const entry of entries) board.onEntry(entry, clock.nowMs());
    for (const controller of board.controllers())
      controller.onContact(sentAtMs);
  }

  /** Learns of brakes that were pulled while this daemon was not there. */
  async learnBrakes(): Promise<void> {
    const { board, self } = this.parts;
    const others = this.others().filter(each => each.id !== self.id);
    await Promise.all(
      others.map(async other => {
        const answer = await this.exchangeBrakes(other);
        for (const brake of answer) board.onBrake(brake);
      }),
    );
  }

  /** Tells every live daemon of a group's record, so that none waits for its next read. */
  async announce(group: string): Promise<void> {
    const { board, clock, peer } = this.parts;
    const entry = board.entryAfter(group, 0);
    if (entry === undefined) return;
    const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
    const calls = this.others().map(other =>
      peer.call(other.peerAddress, recordMethod, { entry }, deadlineAtMs),
    );
    await Promise.allSettled(calls);
  }

  /** One round: report evidence, decide, act. */
  async step(): Promise<void> {
    await Promise.all(
      this.parts.board.controllers().map(each => this.stepMove(each)),
    );
  }

  /** True where this daemon coordinates a running move and must see its record at once. */
  private coordinatesAny(): boolean {
    const { board, liveDaemons, self } = this.parts;
    const liveIds = liveDaemons().map(daemon => daemon.id);
    return board
      .controllers()
      .filter(each => each.record.state === MoveState.Running)
      .some(each =>
        coordinatorsOf(each.record.spec.moveId, liveIds).includes(self.id),
      );
  }

  private others(): readonly DaemonIdentity[] {
    const { liveDaemons, self } = this.parts;
    return liveDaemons().filter(daemon => daemon.id !== self.id);
  }

  private async stepMove(controller: MoveController): Promise<void> {
    const { clock, liveDaemons, self } = this.parts;
    const isRunning = controller.record.state === MoveState.Running;
    const { moveId } = controller.record.spec;
    const live = liveDaemons();
    const liveDaemonIds = live.map(daemon => daemon.id);
    const coordinators = coordinatorsOf(moveId, liveDaemonIds);
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
    const { clock, self } = this.parts;
    const report = controller.takeReport(clock.nowMs());
    if (coordinators.includes(self.id)) controller.onReport(report);
    if (live.length <= 1) controller.onContact(clock.nowMs());
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
    const { board, clock, peer } = this.parts;
    const sentAtMs = clock.nowMs();
    try {
      const answer = await peer.call(
        target.peerAddress,
        reportMethod,
        { report, recordVersion: controller.recordVersion },
        sentAtMs + CALL_TIMEOUT_MS,
      );
      controller.onContact(sentAtMs);
      if (answer.brake !== undefined) board.onBrake(answer.brake);
      if (answer.entry !== undefined) {
        board.onEntry(answer.entry, clock.nowMs());
      }
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      this.parts.metrics.increment('moves.report_lost');
    }
  }

  private async renewLease(moveId: string): Promise<void> {
    const { clock, keyValue, self } = this.parts;
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
        await this.write(controller, action.record, action.expectedVersion);
        return;
      case MoveActionKind.SpreadBrake:
        await this.spread(action.brake);
        return;
      case MoveActionKind.ReportEnding:
        this.report(action.spec, action.ending);
    }
  }

  /** Writes by compare-and-swap and reads back what is in force, whatever the answer. */
  private async write(
    controller: MoveController,
    record: MoveRecord,
    expectedVersion: number,
  ): Promise<void> {
    const { board, clock, keyValue } = this.parts;
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
      if (entry !== undefined) board.onEntry(entry, clock.nowMs());
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
    }
  }

  private async spread(brake: Brake): Promise<void> {
    const { board, log, metrics } = this.parts;
    board.onBrake(brake);
    metrics.increment('moves.brake', 1, { group: brake.group });
    log.warn(LogPart.Moves, `group ${brake.group} is taken back`, {
      moveId: brake.moveId,
      reason: brake.reason,
      pulledBy: brake.daemonId,
    });
    await Promise.all(this.others().map(other => this.exchangeBrakes(other)));
  }

  private async exchangeBrakes(
    other: DaemonIdentity,
  ): Promise<readonly Brake[]> {
    const { board, clock, peer } = this.parts;
    const deadlineAtMs = clock.nowMs() + CALL_TIMEOUT_MS;
    const brakes = [...board.brakes()];
    try {
      const answer = await peer.call(
        other.peerAddress,
        brakesMethod,
        { brakes },
        deadlineAtMs,
      );
      return answer.brakes;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      return [];
    }
  }

  private report(spec: MoveSpec, ending: MoveEnding): void {
    const { log, metrics } = this.parts;
    this.leases.delete(spec.moveId);
    const { group, moveId } = spec;
    metrics.increment('moves.ended', 1, { group, state: ending.state });
    log.info(LogPart.Moves, `group ${group}: the move is ${ending.state}`, {
      moveId,
      reason: ending.reason ?? 'evidence is clean',
      newRequests: ending.newRequests,
      unprovedKinds: ending.unprovedKinds.join(','),
    });
  }
}
