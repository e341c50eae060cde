import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { fileURLToPath } from 'node:url';

import { loadSettings, parseSettings } from './load-settings.js';
import { SettingsError } from './settings-error.js';

const DIGEST = 'a'.repeat(64);

const TEXT = `
identity: { daemonId: daemon-1, dataCentre: north-1 }
listen: { callers: 10.0.0.5:8080, operators: 10.0.0.5:8081, peers: 10.0.0.5:8082 }
platform: { keyValueAddress: 10.0.0.9:7000, cloudAddress: 10.0.0.9:7001, token: platform-token-example }
credentials:
  workspaces: [{ workspace: northside, sha256: ${DIGEST} }]
  operators: [{ name: operations, sha256: ${DIGEST} }]
  peerSecret: peer-secret-example
`;

describe('parseSettings', () => {
  it('applies defaults for absent fields', () => {
    const settings = parseSettings('daemon.yaml', TEXT);
    assert.equal(settings.identity.daemonId, 'daemon-1');
    assert.equal(settings.limits.maxBodyBytes, 1_000_000);
  });

  it('reports every fault with its path and the expected value', () => {
    const text = TEXT.replace('10.0.0.5:8080', 'localhost')
      .replace('daemonId: daemon-1, ', '')
      .concat('colour: red\n');
    assert.throws(
      () => parseSettings('daemon.yaml', text),
      (error: unknown) => {
        assert.ok(error instanceof SettingsError);
        const paths = error.faults.map(fault => fault.path).sort();
        assert.deepEqual(paths, [
          'identity.daemonId',
          'listen.callers',
          'the file',
        ]);
        assert.match(error.message, /an IP number and a port/);
        return true;
      },
    );
  });

  it('rejects invalid YAML', () => {
    assert.throws(
      () => parseSettings('daemon.yaml', 'identity: [\nlisten: }'),
      SettingsError,
    );
  });
});

describe('loadSettings', () => {
  for (const name of ['kowhai', 'lumela']) {
    it(`loads the example settings ${name}.yaml`, () => {
      const file = new URL(
        `../../../../examples/${name}.yaml`,
        import.meta.url,
      );
      const settings = loadSettings(fileURLToPath(file));
      assert.equal(settings.identity.daemonId, 'entry-1');
    });
  }
});
