import type { DaemonIdentity } from '../ports/index.js';
import type { CellView } from './cell-layout.js';
import { viewCells } from './cell-layout.js';
import type { Member, MemberTable } from './member-table.js';
import type { MemberUpdate } from './membership.js';

const REFRESH_INTERVAL_MS = 1_000;

/** Keeps the cells in step with the member table, at most once a second for large fleets. */
export class CellTracker {
  private view: CellView = { cell: [], contacts: [], holdsRelays: true };
  private viewedShape = -1;
  private refreshes = 0;
  private nextRefreshAtMs = 0;

  constructor(
    private readonly self: DaemonIdentity,
    private readonly table: MemberTable,
  ) {}

  /** Number that rises whenever the live members or the cells may differ from before. */
  get changes(): number {
    return this.table.shapeVersion + this.refreshes;
  }

  get holdsRelays(): boolean {
    return this.view.holdsRelays;
  }

  /** Members of the own cell, as they are now. */
  cell(): readonly Member[] {
    return this.current(this.view.cell);
  }

  /** Members that this daemon probes: its cell and its contacts. */
  targets(): readonly Member[] {
    return this.current([...this.view.cell, ...this.view.contacts]);
  }

  /** Whether news is kept here; far cells keep their own, and their contacts are probed. */
  concerns(update: MemberUpdate): boolean {
    if (this.isSingleCell()) return true;
    const identity = update.identity ?? this.table.get(update.id)?.identity;
    return (
      identity?.dataCentre === this.self.dataCentre ||
      this.view.contacts.some(each => each.identity.id === update.id)
    );
  }

  /** Follows a change at once where the table is small. */
  noteChange(nowMs: number): void {
    if (this.isSingleCell()) this.refresh(nowMs);
  }

  refreshIfDue(nowMs: number): void {
    if (nowMs >= this.nextRefreshAtMs) this.refresh(nowMs);
  }

  refresh(nowMs: number): void {
    this.nextRefreshAtMs = nowMs + REFRESH_INTERVAL_MS;
    if (this.viewedShape === this.table.shapeVersion) return;
    this.viewedShape = this.table.shapeVersion;
    this.refreshes += 1;
    this.view = viewCells(this.self, this.table.all());
  }

  private isSingleCell(): boolean {
    return this.view.contacts.length === 0;
  }

  private current(members: readonly Member[]): readonly Member[] {
    return members.flatMap(each => this.table.get(each.identity.id) ?? []);
  }
}
