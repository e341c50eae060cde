// Stands for the module `program.js` in the loader.
import { fileURLToPath } from 'node:url';

import { createScript, evaluate } from './program-script.mjs';

const filename = fileURLToPath(
  new URL(process.env.PROGRAM_FILE, import.meta.url),
);

export async function runProgram(signals) {
  const program = await evaluate(createScript(filename), filename);
  program.run(signals);
}
