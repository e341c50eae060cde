// Entry of the bundled program, which runs as a script and so has no exports: hands its function to the loader.
/* global program */
import { runProgram } from '../../packages/daemon/src/program.ts';

program.run = runProgram;
