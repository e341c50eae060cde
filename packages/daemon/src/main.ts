#!/usr/bin/env node
import { limitCompilerMemory } from './compiler-flags.js';
import { ProcessSignals } from './signals/index.js';

// Loading the rest takes seconds on a slow core, in which a signal without a listener would end the process.
const signals = new ProcessSignals(process);
limitCompilerMemory();
const { runProgram } = await import('./program.js');
runProgram(signals);
