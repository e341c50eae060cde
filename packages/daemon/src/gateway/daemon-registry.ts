import { z } from 'zod';

import type {
  DaemonIdentity,
  KeyValueStore,
  Log,
} from '@skylarkreach/core/ports';
import { LogComponent, PlatformError } from '@skylarkreach/core/ports';

import type { SeedSource } from '../membership/index.js';

const KEY_PREFIX = 'skylarkreach/daemons/';

const identitySchema: z.ZodType<DaemonIdentity> = z.object({
  id: z.string().min(1),
  dataCentre: z.string(),
  peerAddress: z.string(),
  callerUrl: z.string(),
});

/** Registry of daemons in the key-value service. Entries of stopped daemons may remain. */
export class DaemonRegistry implements SeedSource {
  private isRegistered = false;

  constructor(
    private readonly keyValue: KeyValueStore,
    private readonly self: DaemonIdentity,
    private readonly log: Log,
    /** Called with the ids of all registered daemons after each read. */
    private readonly onListed: (ids: readonly string[]) => void,
  ) {}

  /** Returns all registered daemons, and registers this one if it isn't, or no longer. */
  async daemons(deadlineAtMs: number): Promise<readonly DaemonIdentity[]> {
    const entries = await this.keyValue.list(KEY_PREFIX, deadlineAtMs);
    const ownEntry = entries.find(entry => entry.key === this.ownKey());
    if (!this.isRegistered || ownEntry === undefined) {
      await this.register(ownEntry?.version ?? 0, deadlineAtMs);
    }
    const daemons = entries
      .map(entry => decode(entry.value))
      .filter(identity => identity !== undefined);
    this.onListed(daemons.map(daemon => daemon.id));
    return daemons;
  }

  private async register(
    expectedVersion: number,
    deadlineAtMs: number,
  ): Promise<void> {
    const value = JSON.stringify(this.self);
    const key = this.ownKey();
    try {
      await this.keyValue.put({ key, value, expectedVersion, deadlineAtMs });
      this.isRegistered = true;
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      this.log.warn(LogComponent.Membership, 'The daemon could not register.', {
        error: error.message,
      });
    }
  }

  private ownKey(): string {
    return `${KEY_PREFIX}${this.self.id}`;
  }
}

function decode(value: string): DaemonIdentity | undefined {
  try {
    return identitySchema.safeParse(JSON.parse(value)).data;
  } catch {
    // Not JSON: the entry was not written by this version.
    return undefined;
  }
}
