import type { Endpoint, KeyValueEntry } from '../ports/index.js';
import type { EvidenceReport, RequestResult } from './evidence.js';
import type { MoveRecord, RollbackDecision } from './move.js';
import {
  decodeMoveRecord,
  MAX_EXCHANGED_ROLLBACKS,
  moveKey,
  MoveState,
} from './move.js';
import { MoveController } from './move-controller.js';
import { excludedNewEndpoints, usesNewVersion } from './version-hashing.js';
import type {
  VersionChoice,
  VersionPolicy,
  VersionRequest,
} from './version-policy.js';
import { ANY_VERSION } from './version-policy.js';

/** Result of a request, with the group and the version that served it. */
export interface VersionedResult extends Omit<RequestResult, 'isNewVersion'> {
  readonly group: string;
  readonly version: string;
}

/** The newest known move of each group, on one daemon. */
export class MoveRegistry implements VersionPolicy {
  private readonly byGroup = new Map<string, MoveController>();
  private readonly knownRollbacks = new Map<string, RollbackDecision>();

  constructor(private readonly daemonId: string) {}

  /** Applies a stored entry; an older version than the known one is ignored. */
  applyEntry(entry: KeyValueEntry, nowMs: number): void {
    const record = decodeMoveRecord(entry.value);
    if (record === undefined) return;
    const { group, moveId } = record.spec;
    const controller = this.byGroup.get(group);
    if (controller?.record.spec.moveId === moveId) {
      controller.applyRecord(record, entry.version);
      return;
    }
    if (controller !== undefined && entry.version <= controller.recordVersion)
      return;
    this.add(record, entry.version, nowMs);
  }

  /** Applies a rollback decision of any daemon. */
  applyRollback(decision: RollbackDecision): void {
    this.storeRollback(decision);
    this.byGroup.get(decision.group)?.applyRollback(decision);
  }

  /** Applies a report of any daemon and returns the rollback decision for its move, if any. */
  applyReport(report: EvidenceReport): RollbackDecision | undefined {
    if (report.brake !== undefined) this.applyRollback(report.brake);
    this.byGroup.get(report.group)?.applyReport(report);
    return this.knownRollbacks.get(report.moveId);
  }

  /** Returns the stored entry of a group if it is newer than `version`. */
  entryAfter(group: string, version: number): KeyValueEntry | undefined {
    const controller = this.byGroup.get(group);
    if (controller === undefined || controller.recordVersion <= version)
      return undefined;
    const value = JSON.stringify(controller.record);
    return { key: moveKey(group), value, version: controller.recordVersion };
  }

  /** Returns whether the group's newest move was to this version and is rolled back. */
  isTakenBack(group: string, version: string): boolean {
    const controller = this.byGroup.get(group);
    if (controller?.record.spec.toVersion !== version) return false;
    const { rollbackDecision: decision, record } = controller;
    const isRunning = record.state === MoveState.Running;
    return isRunning
      ? decision !== undefined
      : record.state === MoveState.RolledBack;
  }

  /** Returns the latest rollback decisions that this daemon knows, as many as one message may contain. */
  rollbackDecisions(): readonly RollbackDecision[] {
    for (const { rollbackDecision } of this.byGroup.values()) {
      if (rollbackDecision !== undefined) this.storeRollback(rollbackDecision);
    }
    return [...this.knownRollbacks.values()];
  }

  /** Returns the controllers of the newest move of each group. */
  controllers(): readonly MoveController[] {
    return [...this.byGroup.values()];
  }

  /** Returns the controller of the group's newest move. */
  find(group: string): MoveController | undefined {
    return this.byGroup.get(group);
  }

  choose(
    request: VersionRequest,
    endpoints: readonly Endpoint[],
    nowMs: number,
  ): VersionChoice {
    const controller = this.byGroup.get(request.group);
    if (controller === undefined) return ANY_VERSION;
    const { spec, state } = controller.record;
    if (!spec.kinds.includes(request.kind)) {
      return state === MoveState.Done
        ? ANY_VERSION
        : { version: spec.fromVersion, excludedAddresses: new Set() };
    }
    const share = controller.share(request.kind, nowMs);
    if (!usesNewVersion(spec.moveId, request.requestId, share)) {
      return { version: spec.fromVersion, excludedAddresses: new Set() };
    }
    const groupEndpoints = endpoints.filter(
      endpoint => endpoint.group === spec.group,
    );
    const newEndpoints = groupEndpoints.filter(
      endpoint => endpoint.version === spec.toVersion,
    );
    const oldEndpoints = groupEndpoints.filter(
      endpoint => endpoint.version === spec.fromVersion,
    );
    if (state !== MoveState.Running) {
      return { version: spec.toVersion, excludedAddresses: new Set() };
    }
    const excluded = excludedNewEndpoints(
      spec.moveId,
      newEndpoints,
      oldEndpoints.length,
      share,
    );
    const { fromVersion: fallbackVersion, toVersion: version } = spec;
    return { version, fallbackVersion, excludedAddresses: excluded };
  }

  /** Records the result of a request that this daemon served, if its group has a running move. */
  recordResult(result: VersionedResult): void {
    const controller = this.byGroup.get(result.group);
    if (controller?.record.state !== MoveState.Running) return;
    const { fromVersion, kinds, toVersion } = controller.record.spec;
    const isNewVersion = result.version === toVersion;
    if (!isNewVersion && result.version !== fromVersion) return;
    if (!kinds.includes(result.kind)) return;
    controller.recordResult({ ...result, isNewVersion });
  }

  /** Stores a decision as the latest one; the oldest is dropped first. */
  private storeRollback(decision: RollbackDecision): void {
    this.knownRollbacks.delete(decision.moveId);
    this.knownRollbacks.set(decision.moveId, decision);
    for (const moveId of this.knownRollbacks.keys()) {
      if (this.knownRollbacks.size <= MAX_EXCHANGED_ROLLBACKS) break;
      this.knownRollbacks.delete(moveId);
    }
  }

  private add(record: MoveRecord, version: number, nowMs: number): void {
    const controller = new MoveController(
      this.daemonId,
      record,
      version,
      nowMs,
    );
    const decision = this.knownRollbacks.get(record.spec.moveId);
    if (decision !== undefined) controller.applyRollback(decision);
    this.byGroup.set(record.spec.group, controller);
  }
}
