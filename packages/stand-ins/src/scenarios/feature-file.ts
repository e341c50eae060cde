import { readFileSync } from 'node:fs';
import { basename } from 'node:path';

import {
  AstBuilder,
  compile,
  GherkinClassicTokenMatcher,
  Parser,
} from '@cucumber/gherkin';
import { IdGenerator } from '@cucumber/messages';

const KNOWN_RED_TAG = '@knownRed';

/** Scenario of a feature file; the steps of the background precede its own. */
export interface FeatureScenario {
  readonly name: string;
  readonly steps: readonly string[];
  /** Whether the scenario is tagged as a known failure, which KNOWN-RED.txt lists. */
  readonly isKnownRed: boolean;
}

export interface Feature {
  readonly name: string;
  readonly scenarios: readonly FeatureScenario[];
}

/** Parses a feature file; a scenario outline yields one scenario per example. */
export function readFeature(path: string | URL): Feature {
  const uri = basename(String(path));
  const newId = IdGenerator.incrementing();
  const parser = new Parser(
    new AstBuilder(newId),
    new GherkinClassicTokenMatcher(),
  );
  const document = parser.parse(readFileSync(path, 'utf8'));
  const scenarios = compile(document, uri, newId).map(pickle => ({
    name: pickle.name,
    steps: pickle.steps.map(step => step.text),
    isKnownRed: pickle.tags.some(tag => tag.name === KNOWN_RED_TAG),
  }));
  return { name: document.feature?.name ?? uri, scenarios };
}
