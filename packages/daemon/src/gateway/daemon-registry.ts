import { z } from 'zod';

import type { DaemonIdentity, KeyValue, Log } from '@skylarkreach/core/ports';
import { LogPart, PlatformError } from '@skylarkreach/core/ports';

import type { SeedSource } from '../membership/index.js';

const PREFIX = 'skylarkreach/daemons/';

const identitySchema: z.ZodType<DaemonIdentity> = z.object({
  id: z.string().min(1),
  dataCentre: z.string(),
  peerAddress: z.string(),
  callerUrl: z.string(),
});

/** Daemons that have registered in the key-value service; some may be gone. */
export class DaemonRegistry implements SeedSource {
  private isRegistered = false;

  constructor(
    private readonly keyValue: KeyValue,
    private readonly self: DaemonIdentity,
    private readonly log: Log,
  ) {}

  async daemons(deadlineAtMs: number): Promise<readonly DaemonIdentity[]> {
    const entries = await this.keyValue.list(PREFIX, deadlineAtMs);
    const own = entries.find(each => each.key === this.ownKey());
    if (!this.isRegistered) {
      await this.register(own?.version ?? 0, deadlineAtMs);
    }
    return entries
      .map(each => decode(each.value))
      .filter(each => each !== undefined);
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
      this.log.warn(LogPart.Membership, 'The daemon could not register.', {
        error: error.message,
      });
    }
  }

  private ownKey(): string {
    return `${PREFIX}${this.self.id}`;
  }
}

function decode(value: string): DaemonIdentity | undefined {
  try {
    return identitySchema.safeParse(JSON.parse(value)).data;
  } catch {
    // Not JSON: an entry that this version of the system did not write.
    return undefined;
  }
}
