import type { DaemonIdentity } from '../ports/index.js';
import type { Member } from './member-table.js';
import { hasEnded, isLive } from './member-table.js';
import { hash32 } from './rendezvous.js';

/** Most members of a cell, and most daemons that form one cell over all data centres. */
export const MAX_CELL_MEMBERS = 64;

const CONTACTS_PER_CELL = 2;

/** Whom a daemon probes, and whom it hands news to in other cells. */
export interface CellView {
  /** Members of this daemon's own cell, without itself. */
  readonly cell: readonly Member[];
  /** A few members of each other cell of the data centre and of each other data centre. */
  readonly contacts: readonly Member[];
  /** Whether the relays of the data centre come from this cell: the first with a live member. */
  readonly holdsRelays: boolean;
}

/**
 * Divides daemons into cells: one for all while they are few, else each data
 * centre by a power of two of hash ranges, so that growth only splits cells.
 */
export function viewCells(
  self: DaemonIdentity,
  members: Iterable<Member>,
): CellView {
  const present = [...members].filter(member => !hasEnded(member));
  if (present.length < MAX_CELL_MEMBERS) {
    return { cell: present, contacts: [], holdsRelays: true };
  }
  const { dataCentre } = self;
  const local = present.filter(each => each.identity.dataCentre === dataCentre);
  const cells = cellCount(local.length + 1);
  const ownIndex = hash32(self.id) % cells;
  const isOwnCell = (each: Member) =>
    each.identity.dataCentre === dataCentre &&
    each.cellHash % cells === ownIndex;
  const groups = groupBy(
    present.filter(each => !isOwnCell(each)),
    each =>
      each.identity.dataCentre === dataCentre
        ? `cell ${each.cellHash % cells}`
        : `data centre ${each.identity.dataCentre}`,
  );
  const contacts = [...groups.values()].flatMap(chooseContacts);
  const lowerCells = contacts.filter(
    each =>
      each.identity.dataCentre === dataCentre &&
      each.cellHash % cells < ownIndex,
  );
  return {
    cell: local.filter(isOwnCell),
    contacts,
    holdsRelays: !lowerCells.some(isLive),
  };
}

function cellCount(daemons: number): number {
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
