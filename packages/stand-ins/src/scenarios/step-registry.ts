/** Executes one step; `values` are the texts captured by the groups of its pattern. */
export type StepAction<World> = (
  world: World,
  ...values: readonly string[]
) => Promise<void> | void;

/** Step of a feature file bound to its action and captured values. */
export type BoundStep<World> = (world: World) => Promise<void>;

/** No action matches a step of a feature file, or more than one does. */
export class StepError extends Error {
  override readonly name = 'StepError';
}

interface StepDefinition<World> {
  readonly pattern: RegExp;
  readonly action: StepAction<World>;
}

/** Registry of step patterns and their actions for feature files. */
export class StepRegistry<World> {
  private readonly definitions: StepDefinition<World>[] = [];

  add(pattern: RegExp, action: StepAction<World>): this {
    this.definitions.push({ pattern, action });
    return this;
  }

  /** Returns the action that matches a step's text. Throws `StepError` unless exactly one does. */
  bind(text: string): BoundStep<World> {
    const matches = this.definitions.filter(candidate =>
      candidate.pattern.test(text),
    );
    const [definition] = matches;
    if (definition === undefined) {
      throw new StepError(
        `No step definition matches "${text}"; add one or correct the feature file.`,
      );
    }
    if (matches.length > 1) {
      const patterns = matches.map(each => String(each.pattern)).join(', ');
      throw new StepError(
        `Several step definitions match "${text}": ${patterns}; make the patterns distinct.`,
      );
    }
    const values = definition.pattern.exec(text)?.slice(1) ?? [];
    return async world => {
      await definition.action(world, ...values);
    };
  }
}
