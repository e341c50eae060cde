/** Runs one step; `values` are what the pattern's groups matched. */
export type StepAction<World> = (
  world: World,
  ...values: readonly string[]
) => Promise<void> | void;

/** A step of a feature file bound to its action. */
export type BoundStep<World> = (world: World) => Promise<void>;

/** A step of a feature file has no action, or more than one. */
export class StepError extends Error {
  override readonly name = 'StepError';
}

interface StepDefinition<World> {
  readonly pattern: RegExp;
  readonly action: StepAction<World>;
}

/** Actions of the steps of feature files. */
export class StepRegistry<World> {
  private readonly definitions: StepDefinition<World>[] = [];

  add(pattern: RegExp, action: StepAction<World>): this {
    this.definitions.push({ pattern, action });
    return this;
  }

  /** The action of a step's text. Throws `StepError`. */
  bind(text: string): BoundStep<World> {
    const found = this.definitions.filter(each => each.pattern.test(text));
    const [definition] = found;
    if (definition === undefined) {
      throw new StepError(
        `No step matches "${text}"; add it to the steps or correct the feature file.`,
      );
    }
    if (found.length > 1) {
      const patterns = found.map(each => String(each.pattern)).join(', ');
      throw new StepError(
        `Several steps match "${text}": ${patterns}; narrow all but one.`,
      );
    }
    const values = definition.pattern.exec(text)?.slice(1) ?? [];
    return async world => {
      await definition.action(world, ...values);
    };
  }
}
