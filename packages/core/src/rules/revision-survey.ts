import { z } from 'zod';

import type { DaemonIdentity, PeerClient } from '../ports/index.js';
import { definePeerMethod, PlatformError } from '../ports/index.js';

/** Requests the revision of the rules that a daemon has in force. */
export const revisionMethod = definePeerMethod(
  'rules.revision',
  z.object({}),
  z.object({ revision: z.number() }),
);

/**
 * Revision of the rules that one daemon has in force; undefined when the daemon
 * did not answer.
 */
export interface DaemonRevision {
  readonly daemonId: string;
  readonly revision?: number;
}

/** Returns the daemons that this process considers alive. */
export type LiveDaemons = () => readonly DaemonIdentity[];

/** Query of all live daemons for the revision of the rules that each has in force. */
export class RevisionSurvey {
  constructor(
    private readonly peer: PeerClient,
    private readonly liveDaemons: LiveDaemons,
  ) {}

  run(deadlineAtMs: number): Promise<readonly DaemonRevision[]> {
    return Promise.all(
      this.liveDaemons().map(daemon => this.queryDaemon(daemon, deadlineAtMs)),
    );
  }

  private async queryDaemon(
    daemon: DaemonIdentity,
    deadlineAtMs: number,
  ): Promise<DaemonRevision> {
    const daemonId = daemon.id;
    try {
      const answer = await this.peer.call(
        daemon.peerAddress,
        revisionMethod,
        {},
        deadlineAtMs,
      );
      return { daemonId, revision: answer.revision };
    } catch (error) {
      if (!(error instanceof PlatformError)) throw error;
      return { daemonId };
    }
  }
}
