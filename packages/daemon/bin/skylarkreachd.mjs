#!/usr/bin/env node
// Stands in the repository, so that npm links it before the project is built.
// Signals have listeners before the many modules of the program are loaded.
import '../dist/early-signals/index.js';

await import('../dist/main.js');
