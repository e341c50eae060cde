import { createHash } from 'node:crypto';

import type { Address } from '@skylarkreach/core/ports';
import type { LogLevel, Settings } from '@skylarkreach/daemon';
import { settingsSchema } from '@skylarkreach/daemon';

export const CALLER_TOKEN = 'caller-token-example';
export const OPERATOR_TOKEN = 'operator-token-example';
export const WORKSPACE = 'northside';

/** Listen address on the loopback interface; port 0 lets the system choose a free port. */
export const ANY_PORT: Address = '127.0.0.1:0';

const PLATFORM_TOKEN = 'platform-token-example';
const PEER_SECRET = 'peer-secret-example';

/** Settings that vary between the daemons of local deployments. */
export interface DaemonSettingsInputs {
  readonly identity: Settings['identity'];
  readonly keyValueAddress: Address;
  readonly cloudAddress: Address;
  readonly logLevel: LogLevel;
  readonly services: Settings['services'];
  /** Caller tokens of additional workspaces, keyed by workspace. */
  readonly workspaceTokens: Readonly<Record<string, string>>;
}

/** Returns the settings of one daemon of a local deployment. */
export function daemonSettings(inputs: DaemonSettingsInputs): Settings {
  return settingsSchema.parse({
    identity: inputs.identity,
    listen: { callers: ANY_PORT, operators: ANY_PORT, peers: ANY_PORT },
    platform: {
      keyValueAddress: inputs.keyValueAddress,
      cloudAddress: inputs.cloudAddress,
      token: PLATFORM_TOKEN,
    },
    telemetry: { logLevel: inputs.logLevel },
    credentials: {
      workspaces: Object.entries({
        [WORKSPACE]: CALLER_TOKEN,
        ...inputs.workspaceTokens,
      }).map(([workspace, token]) => ({ workspace, sha256: sha256(token) })),
      operators: [{ name: 'operator', sha256: sha256(OPERATOR_TOKEN) }],
      peerSecret: PEER_SECRET,
    },
    services: inputs.services,
  });
}

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}
