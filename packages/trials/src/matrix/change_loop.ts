/** Operators that race for one change after another.
 *
 * Each change replaces a pair of marked routes by the next pair, so that a
 * list of models tells which change is in force and whether it is whole.
 *
 * @module
 */
import type { ConfigObject, Route } from "@banyanlb/core";
import { monotonicMs } from "@banyanlb/standins";
import { routesOf } from "./completions.ts";
import {
  type EditOutcome,
  lookUpBases,
  type ObjectName,
  publishUntilAccepted,
  publishWithBases,
} from "./operator_edits.ts";
import type { World } from "./world.ts";

/** Workspace of the marked routes. */
export const CHANGED_WORKSPACE = "west-lake";

/** What one operator was told about one change. */
export interface ChangeView {
  readonly mark: string;
  /** Grows from change to change. */
  readonly number: number;
  readonly outcome: EditOutcome;
  /** Monotonic time of the answer. */
  readonly replied_ms: number;
  /** True for a change that refers to an object that is not there. */
  readonly is_invalid: boolean;
}

/** Who races. */
export interface ChangeLoopOptions {
  /** Indexes of the instances that the two operators ask. */
  readonly operators: readonly [number, number];
  readonly tag: string;
}

const PAUSE_MS = 150;
const LOOKUP_RETRY_MS = 200;
const FIRST_CHANGE_LIMIT_MS = 10_000;
const ROUTE_SUFFIXES = ["a", "b"] as const;

/** Names of the routes of a mark. */
export function routesOfMark(mark: string): readonly string[] {
  return ROUTE_SUFFIXES.map((part) => `${mark}.${part}`);
}

/** Number of the change that made a mark: `TAG-NUMBER-OPERATOR`. */
export function numberOfMark(mark: string): number {
  return Number(mark.split("-")[1]);
}

function toRouteRefs(mark: string): readonly ObjectName[] {
  return routesOfMark(mark).map((name) => ({ kind: "route", name }));
}

/** Two operators base each change on the same versions; exactly one may win.
 * A third change of each round is broken and must be refused. */
export class ChangeLoop {
  readonly #world: World;
  readonly #options: ChangeLoopOptions;
  readonly #views: ChangeView[] = [];
  readonly #task: Promise<void>;
  #uncertain_marks: string[] = [];
  #current: string | undefined;
  #number = 0;
  #is_stopped = false;

  constructor(world: World, options: ChangeLoopOptions) {
    this.#world = world;
    this.#options = options;
    this.#task = this.#run();
  }

  /** What operators were told so far. */
  get views(): readonly ChangeView[] {
    return this.#views;
  }

  /** Begins no more changes, and waits for the last answers. */
  async stop(): Promise<readonly ChangeView[]> {
    this.#is_stopped = true;
    await this.#task;
    return this.#views;
  }

  async #run(): Promise<void> {
    // Racing changes exclude each other since both replace the same pair.
    const via = this.#options.operators[0];
    const first = `${this.#options.tag}-0-first`;
    const put = this.#routes(first, false);
    await publishUntilAccepted(
      this.#world,
      { put, via },
      FIRST_CHANGE_LIMIT_MS,
    );
    this.#current = first;
    while (!this.#is_stopped) {
      await this.#runRound();
      await this.#world.sleep(PAUSE_MS);
    }
  }

  async #runRound(): Promise<void> {
    const marks = [this.#current, ...this.#uncertain_marks]
      .filter((mark) => mark !== undefined);
    const bases = await this.#lookUpBases(marks.flatMap(toRouteRefs));
    if (bases === undefined) return;
    const current = marks.find((mark) => bases.has(`route/${mark}.a`));
    this.#current = current;
    this.#number += 1;
    const [first, second] = this.#options.operators;
    const publish = (via: number, name: string) =>
      this.#publish({ via, name, current, bases });
    // Alone first, since a lost race would hide that it was accepted.
    const invalid = await publish(first, "broken");
    const racing = await Promise.all([
      publish(first, "x"),
      publish(second, "y"),
    ]);
    const views = [invalid, ...racing];
    this.#views.push(...views);
    const accepted = views.find((view) => view.outcome === "accepted");
    this.#current = accepted?.mark ?? current;
    this.#uncertain_marks.push(
      ...views.flatMap((v) => v.outcome === "unknown" ? [v.mark] : []),
    );
  }

  async #lookUpBases(refs: readonly ObjectName[]) {
    if (refs.length === 0) return new Map<string, number | null>();
    try {
      return await lookUpBases(this.#world, this.#options.operators[0], refs);
    } catch {
      await this.#world.sleep(LOOKUP_RETRY_MS);
      return undefined;
    }
  }

  async #publish(
    change: {
      readonly via: number;
      readonly name: string;
      readonly current: string | undefined;
      readonly bases: ReadonlyMap<string, number | null>;
    },
  ): Promise<ChangeView> {
    const { via, name, current, bases } = change;
    const number = this.#number;
    const is_invalid = name === "broken";
    const mark = `${this.#options.tag}-${number}-${name}`;
    const remove = current === undefined ? [] : toRouteRefs(current);
    const put = this.#routes(mark, is_invalid);
    const edit = { put, remove, via };
    const outcome = await publishWithBases(this.#world, edit, bases);
    return { mark, number, outcome, is_invalid, replied_ms: monotonicMs() };
  }

  /** The second route of a broken change names a version that is not there. */
  #routes(mark: string, is_invalid: boolean): readonly ConfigObject[] {
    const version = routesOf(this.#world, CHANGED_WORKSPACE)[0]?.version ?? "";
    return routesOfMark(mark).map((name, i): Route => ({
      kind: "route",
      name,
      workspace: CHANGED_WORKSPACE,
      serves: {
        type: "version",
        version: is_invalid && i > 0 ? `${version}.missing` : version,
      },
    }));
  }
}
