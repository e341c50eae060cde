import type { PoolMember } from './pool-member.js';

const NO_MEMBERS: readonly PoolMember[] = [];

/**
 * Endpoints of one listing by id and by group, in the order of the listing. Meant
 * for lists of up to 12,000 endpoints that are replaced about once a second and
 * searched several times for each request.
 */
export class MemberIndex {
  readonly byId: ReadonlyMap<string, PoolMember>;
  readonly all: readonly PoolMember[];
  private readonly byGroup = new Map<string, PoolMember[]>();

  constructor(members: Iterable<PoolMember>) {
    this.all = [...members];
    this.byId = new Map(this.all.map(each => [each.record.id, each]));
    for (const member of this.all) {
      const { group } = member.record;
      const inGroup = this.byGroup.get(group);
      if (inGroup === undefined) this.byGroup.set(group, [member]);
      else inGroup.push(member);
    }
  }

  get(id: string): PoolMember | undefined {
    return this.byId.get(id);
  }

  inGroup(group: string): readonly PoolMember[] {
    return this.byGroup.get(group) ?? NO_MEMBERS;
  }
}
