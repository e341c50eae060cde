// The bundled program as a script with a code cache. V8 compiles the program anew where the cache is missing, damaged, or of
// another version, architecture or set of flags.
import { createHash } from 'node:crypto';
import {
  closeSync,
  fsyncSync,
  openSync,
  readFileSync,
  renameSync,
  writeSync,
} from 'node:fs';
import { createRequire } from 'node:module';
import { constants, Script } from 'node:vm';

const DIGEST = 'sha256';
const DIGEST_BYTES = 32;

const cacheFileOf = filename => `${filename}.cache`;
const digestOf = data => createHash(DIGEST).update(data).digest();

/** Returns the code cache; undefined if it cannot be used. V8 itself does not notice changed bytes, and crashes. */
function readCodeCache(filename) {
  try {
    const bytes = readFileSync(cacheFileOf(filename));
    const data = bytes.subarray(DIGEST_BYTES);
    return digestOf(data).equals(bytes.subarray(0, DIGEST_BYTES))
      ? data
      : undefined;
  } catch {
    return undefined;
  }
}

export function createScript(filename) {
  // The bundle is ASCII, which V8 keeps in one byte a character.
  return new Script(readFileSync(filename, 'latin1'), {
    filename,
    cachedData: readCodeCache(filename),
    importModuleDynamically: constants.USE_MAIN_CONTEXT_DEFAULT_LOADER,
  });
}

/** Evaluates the script and returns what program-entry.mjs hands over. */
export async function evaluate(script, filename) {
  const program = {};
  await script.runInThisContext()(createRequire(filename), program);
  return program;
}

export function writeCodeCache(script, filename) {
  const data = script.createCachedData();
  const temporaryFile = `${cacheFileOf(filename)}.${process.pid}`;
  const file = openSync(temporaryFile, 'w');
  writeSync(file, digestOf(data));
  writeSync(file, data);
  fsyncSync(file);
  closeSync(file);
  renameSync(temporaryFile, cacheFileOf(filename));
}
