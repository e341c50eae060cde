import { z } from 'zod';

import type { DaemonIdentity, Peer } from '../ports/index.js';
import { definePeerMethod, PlatformError } from '../ports/index.js';

/** Asks a daemon which revision of the rules it has in force. */
export const revisionMethod = definePeerMethod(
  'rules.revision',
  z.object({}),
  z.object({ revision: z.number() }),
);

/** Revision that one daemon has in force; undefined where it gave no answer. */
export interface DaemonRevision {
  readonly daemonId: string;
  readonly revision?: number;
}

/** Daemons that are alive, as this process knows them. */
export type LiveDaemons = () => readonly DaemonIdentity[];

/** Asks every live daemon for the revision that it has in force. */
export class RevisionSurvey {
  constructor(
    private readonly peer: Peer,
    private readonly liveDaemons: LiveDaemons,
  ) {}

  run(deadlineAtMs: number): Promise<readonly DaemonRevision[]> {
    return Promise.all(
      this.liveDaemons().map(daemon => this.ask(daemon, deadlineAtMs)),
    );
  }

  private async ask(
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
