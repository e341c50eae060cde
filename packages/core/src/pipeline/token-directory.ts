import { createHash, timingSafeEqual } from 'node:crypto';

import type { Workspace } from '../ports/index.js';

/** Credential as stored in the settings: a hash, never the token itself. */
export interface TokenHash {
  readonly workspace: Workspace;
  /** SHA-256 of the token, in hexadecimal. */
  readonly sha256: string;
}

/** Maps bearer tokens to workspaces. */
export class TokenDirectory {
  private readonly hashes: readonly { workspace: Workspace; digest: Buffer }[];

  constructor(tokens: readonly TokenHash[]) {
    this.hashes = tokens.map(token => ({
      workspace: token.workspace,
      digest: Buffer.from(token.sha256, 'hex'),
    }));
  }

  /**
   * Returns the workspace of a token. Compares all hashes, each in constant time,
   * so that timing does not reveal a match.
   */
  workspaceOf(bearerToken: string): Workspace | undefined {
    const digest = createHash('sha256').update(bearerToken).digest();
    let workspace: Workspace | undefined;
    for (const candidate of this.hashes) {
      if (timingSafeEqual(candidate.digest, digest)) {
        workspace = candidate.workspace;
      }
    }
    return workspace;
  }
}
