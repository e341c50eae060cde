import type { DaemonIdentity } from '../ports/index.js';
import type { CellLayout } from './cell-layout.js';
import { computeCellLayout } from './cell-layout.js';
import type { Member, MemberTable } from './member-table.js';
import type { MemberUpdate } from './membership.js';

const REFRESH_INTERVAL_MS = 1_000;

/**
 * Cell layout derived from the member table. With a single cell it is recomputed
 * on every change, with several cells at most once a second.
 */
export class CellTracker {
  private layout: CellLayout = { ownCell: [], contacts: [], isRelayCell: true };
  /** `compositionVersion` of the table from which the layout was computed. */
  private layoutTableVersion = -1;
  private refreshCount = 0;
  private nextRefreshAtMs = 0;

  constructor(
    private readonly self: DaemonIdentity,
    private readonly table: MemberTable,
  ) {}

  /** Counter that increases whenever the live members or the cells may have changed. */
  get changeCount(): number {
    return this.table.compositionVersion + this.refreshCount;
  }

  get isRelayCell(): boolean {
    return this.layout.isRelayCell;
  }

  /** Returns the members of the own cell with their current state. */
  ownCell(): readonly Member[] {
    return this.currentMembers(this.layout.ownCell);
  }

  /** Returns the members that this daemon probes: its cell and its contacts. */
  probeTargets(): readonly Member[] {
    return this.currentMembers([
      ...this.layout.ownCell,
      ...this.layout.contacts,
    ]);
  }

  /**
   * Returns whether an update is stored here: with several cells, only updates on
   * the own data centre and on contacts. Other data centres track their own members.
   */
  isRelevant(update: MemberUpdate): boolean {
    if (this.isSingleCell()) return true;
    const identity = update.identity ?? this.table.get(update.id)?.identity;
    return (
      identity?.dataCentre === this.self.dataCentre ||
      this.layout.contacts.some(contact => contact.identity.id === update.id)
    );
  }

  /** Recomputes the layout at once while there is a single cell. */
  handleTableChange(nowMs: number): void {
    if (this.isSingleCell()) this.refresh(nowMs);
  }

  refreshIfDue(nowMs: number): void {
    if (nowMs >= this.nextRefreshAtMs) this.refresh(nowMs);
  }

  refresh(nowMs: number): void {
    this.nextRefreshAtMs = nowMs + REFRESH_INTERVAL_MS;
    if (this.layoutTableVersion === this.table.compositionVersion) return;
    this.layoutTableVersion = this.table.compositionVersion;
    this.refreshCount += 1;
    this.layout = computeCellLayout(this.self, this.table.all());
  }

  private isSingleCell(): boolean {
    return this.layout.contacts.length === 0;
  }

  private currentMembers(members: readonly Member[]): readonly Member[] {
    return members.flatMap(member => this.table.get(member.identity.id) ?? []);
  }
}
