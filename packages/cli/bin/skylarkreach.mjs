#!/usr/bin/env node
// Stands in the repository, so that npm links it before the project is built.
import '../dist/main.js';
