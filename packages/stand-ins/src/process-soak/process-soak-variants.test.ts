import { SoakProfile } from './soak-profile.js';
import { describeSoaks } from './soak-suite.js';

describeSoaks(
  'daemons that place requests by work or serve beside crowds, under overlapping faults',
  [
    { profile: SoakProfile.All, seed: 5, durationMs: 12_000 },
    { profile: SoakProfile.Crowd, seed: 4, durationMs: 12_000 },
  ],
);
