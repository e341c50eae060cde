import type { Endpoint, KeyValueEntry } from '../ports/index.js';
import type { EvidenceReport, RequestResult } from './evidence.js';
import type { Brake, MoveRecord } from './move.js';
import { decodeMoveRecord, moveKey, MoveState } from './move.js';
import { MoveController } from './move-controller.js';
import { takesNewVersion, unusedEndpoints } from './version-choice.js';
import type {
  VersionChoice,
  VersionPolicy,
  VersionSubject,
} from './version-policy.js';
import { ANY_VERSION } from './version-policy.js';

/** Brakes kept for daemons that ask; the oldest go first. */
const MAX_KEPT_BRAKES = 100;

/** A request of a group that ended, with the version that served it. */
export interface VersionedResult extends Omit<RequestResult, 'isNewVersion'> {
  readonly group: string;
  readonly version: string;
}

/** The newest move of each group, as this daemon knows it. */
export class MoveBoard implements VersionPolicy {
  private readonly byGroup = new Map<string, MoveController>();
  private readonly knownBrakes = new Map<string, Brake>();

  constructor(private readonly daemonId: string) {}

  /** Takes a stored entry; an older version of it changes nothing. */
  onEntry(entry: KeyValueEntry, nowMs: number): void {
    const record = decodeMoveRecord(entry.value);
    if (record === undefined) return;
    const { group, moveId } = record.spec;
    const known = this.byGroup.get(group);
    if (known?.record.spec.moveId === moveId) {
      known.onRecord(record, entry.version);
      return;
    }
    if (known !== undefined && entry.version <= known.recordVersion) return;
    this.add(record, entry.version, nowMs);
  }

  /** Takes a brake of any daemon. */
  onBrake(brake: Brake): void {
    this.knownBrakes.set(brake.moveId, brake);
    for (const moveId of this.knownBrakes.keys()) {
      if (this.knownBrakes.size <= MAX_KEPT_BRAKES) break;
      this.knownBrakes.delete(moveId);
    }
    this.byGroup.get(brake.group)?.onBrake(brake);
  }

  /** Takes a report of any daemon and returns the brake of its move. */
  onReport(report: EvidenceReport): Brake | undefined {
    if (report.brake !== undefined) this.onBrake(report.brake);
    this.byGroup.get(report.group)?.onReport(report);
    return this.knownBrakes.get(report.moveId);
  }

  /** The record of a group where it is newer than the version. */
  entryAfter(group: string, version: number): KeyValueEntry | undefined {
    const known = this.byGroup.get(group);
    if (known === undefined || known.recordVersion <= version) return undefined;
    const value = JSON.stringify(known.record);
    return { key: moveKey(group), value, version: known.recordVersion };
  }

  /** True where the group's newest move to the version was taken back. */
  isTakenBack(group: string, version: string): boolean {
    const controller = this.byGroup.get(group);
    if (controller?.record.spec.toVersion !== version) return false;
    const { brake, record } = controller;
    const isOpen = record.state === MoveState.Running;
    return isOpen ? brake !== undefined : record.state === MoveState.TakenBack;
  }

  /** Brakes that this daemon knows of. */
  brakes(): readonly Brake[] {
    for (const { brake } of this.byGroup.values()) {
      if (brake !== undefined) this.knownBrakes.set(brake.moveId, brake);
    }
    return [...this.knownBrakes.values()];
  }

  controllers(): readonly MoveController[] {
    return [...this.byGroup.values()];
  }

  find(group: string): MoveController | undefined {
    return this.byGroup.get(group);
  }

  choose(
    subject: VersionSubject,
    endpoints: readonly Endpoint[],
    nowMs: number,
  ): VersionChoice {
    const controller = this.byGroup.get(subject.group);
    if (controller === undefined) return ANY_VERSION;
    const { spec, state } = controller.record;
    if (!spec.kinds.includes(subject.kind)) {
      return state === MoveState.Done
        ? ANY_VERSION
        : { version: spec.fromVersion, unused: new Set() };
    }
    const share = controller.share(subject.kind, nowMs);
    if (!takesNewVersion(spec.moveId, subject.requestId, share)) {
      return { version: spec.fromVersion, unused: new Set() };
    }
    const ofGroup = endpoints.filter(each => each.group === spec.group);
    const fresh = ofGroup.filter(each => each.version === spec.toVersion);
    const old = ofGroup.filter(each => each.version === spec.fromVersion);
    if (state !== MoveState.Running) {
      return { version: spec.toVersion, unused: new Set() };
    }
    const unused = unusedEndpoints(spec.moveId, fresh, old.length, share);
    const { fromVersion: fallbackVersion, toVersion: version } = spec;
    return { version, fallbackVersion, unused };
  }

  recordResult(result: VersionedResult): void {
    const controller = this.byGroup.get(result.group);
    if (controller?.record.state !== MoveState.Running) return;
    const { fromVersion, kinds, toVersion } = controller.record.spec;
    const isNewVersion = result.version === toVersion;
    if (!isNewVersion && result.version !== fromVersion) return;
    if (!kinds.includes(result.kind)) return;
    controller.recordResult({ ...result, isNewVersion });
  }

  private add(record: MoveRecord, version: number, nowMs: number): void {
    const controller = new MoveController(
      this.daemonId,
      record,
      version,
      nowMs,
    );
    const brake = this.knownBrakes.get(record.spec.moveId);
    if (brake !== undefined) controller.onBrake(brake);
    this.byGroup.set(record.spec.group, controller);
  }
}
