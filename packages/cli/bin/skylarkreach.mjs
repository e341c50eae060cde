#!/usr/bin/env node
// Committed outside dist, because npm links it before the project is built.
import '../dist/main.js';
