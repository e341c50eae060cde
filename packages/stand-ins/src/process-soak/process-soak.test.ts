import { SoakProfile } from './soak-profile.js';
import { describeSoaks } from './soak-suite.js';

describeSoaks('daemons as processes under overlapping faults', [
  { profile: SoakProfile.All, seed: 1, durationMs: 12_000 },
  { profile: SoakProfile.All, seed: 3, durationMs: 12_000 },
  { profile: SoakProfile.All, seed: 90, durationMs: 12_000 },
  { profile: SoakProfile.Store, seed: 4, durationMs: 6_000 },
  { profile: SoakProfile.Silence, seed: 4, durationMs: 6_000 },
  { profile: SoakProfile.Evacuations, seed: 4, durationMs: 12_000 },
]);
