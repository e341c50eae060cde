import type { DaemonIdentity } from '../ports/index.js';
import type { Member } from './member-table.js';
import { hasEnded, isLive } from './member-table.js';
import { hash32 } from './rendezvous.js';

/** Maximum members of a cell, where there are several. */
export const MAX_CELL_MEMBERS = 64;

/**
 * Number of daemons from which on they form several cells; fewer form one. With
 * several cells a daemon gets the hints of its own cell and of some contacts only:
 * among 78 daemons, usage reports missed half of the requests.
 */
export const MIN_DAEMONS_FOR_CELLS = 256;

const CONTACTS_PER_CELL = 2;

/** Members that a daemon probes, and its contacts for propagating updates to other cells. */
export interface CellLayout {
  /** Members of this daemon's own cell, excluding itself. */
  readonly ownCell: readonly Member[];
  /** Up to two members of each other cell of the data centre and of each other data centre. */
  readonly contacts: readonly Member[];
  /**
   * Whether the data centre's relays are chosen from this cell: the cell of
   * lowest index with a live member.
   */
  readonly isRelayCell: boolean;
}

/**
 * Partitions daemons into cells. Below `MIN_DAEMONS_FOR_CELLS` all daemons form one
 * cell; from it on each data centre is partitioned by hash into a power of two
 * of cells, so that growth splits cells without moving members between others.
 */
export function computeCellLayout(
  self: DaemonIdentity,
  members: Iterable<Member>,
): CellLayout {
  const activeMembers = [...members].filter(member => !hasEnded(member));
  if (activeMembers.length < MIN_DAEMONS_FOR_CELLS) {
    return { ownCell: activeMembers, contacts: [], isRelayCell: true };
  }
  const { dataCentre } = self;
  const localMembers = activeMembers.filter(
    member => member.identity.dataCentre === dataCentre,
  );
  const cellTotal = countCells(localMembers.length + 1);
  const ownIndex = hash32(self.id) % cellTotal;
  const isInOwnCell = (member: Member) =>
    member.identity.dataCentre === dataCentre &&
    member.cellHash % cellTotal === ownIndex;
  const groups = groupBy(
    activeMembers.filter(member => !isInOwnCell(member)),
    member =>
      member.identity.dataCentre === dataCentre
        ? `cell ${member.cellHash % cellTotal}`
        : `data centre ${member.identity.dataCentre}`,
  );
  const contacts = [...groups.values()].flatMap(chooseContacts);
  const lowerCellContacts = contacts.filter(
    member =>
      member.identity.dataCentre === dataCentre &&
      member.cellHash % cellTotal < ownIndex,
  );
  return {
    ownCell: localMembers.filter(isInOwnCell),
    contacts,
    isRelayCell: !lowerCellContacts.some(isLive),
  };
}

function countCells(daemons: number): number {
  let cells = 1;
  while (daemons / cells > MAX_CELL_MEMBERS) cells *= 2;
  return cells;
}

function chooseContacts(group: readonly Member[]): readonly Member[] {
  return [...group]
    .sort((left, right) => right.contactScore - left.contactScore)
    .slice(0, CONTACTS_PER_CELL);
}

function groupBy(
  members: readonly Member[],
  keyOf: (member: Member) => string,
): ReadonlyMap<string, Member[]> {
  const groups = new Map<string, Member[]>();
  for (const member of members) {
    const key = keyOf(member);
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [member]);
    else group.push(member);
  }
  return groups;
}
