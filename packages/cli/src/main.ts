#!/usr/bin/env node
import { runProgram } from './program.js';

await runProgram(process.argv);
