import { setFlagsFromString } from 'node:v8';

/**
 * Has V8 compile WebAssembly with its baseline compiler only. Its optimizing compiler takes 48 MB outside the heap for the HTTP
 * parser of undici, a second or two after the start. Called before undici is loaded; under the same flags as in
 * `deploy/system.toml`, so that V8 accepts the code cache.
 */
export function limitCompilerMemory(): void {
  // Either flag alone still lets the optimizing compiler in.
  setFlagsFromString('--no-wasm-tier-up');
  setFlagsFromString('--no-wasm-dynamic-tiering');
}
