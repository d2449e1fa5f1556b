/** Checks which changes were in force on each instance, from lists of models.
 *
 * @module
 */
import { type ChangeView, numberOfMark, routesOfMark } from "../change_loop.ts";
import { bodyOf } from "../keep_alive_connection.ts";
import type { Probe } from "../prober.ts";
import { groupBy } from "./group_by.ts";

const STATUS_OK = 200;

/** The marks that one list of models contained. */
interface Listing {
  readonly instance: number;
  readonly sent_ms: number;
  /** Marks of which at least one route was listed. */
  readonly marks: readonly string[];
  /** True if every mark was listed with all its routes. */
  readonly is_whole: boolean;
}

/** Options of `checkConfiguration`. */
export interface ConfigurationCheckOptions {
  /** Prefix of the marks to check. */
  readonly tag: string;
  /** Time within which an accepted change must be in force on all
   * instances. */
  readonly propagation_limit_ms: number;
  /** Returns the name of an instance for messages. */
  readonly nameOf: (instance: number) => string;
}

interface ModelList {
  readonly data: readonly { readonly id: string }[];
}

function toListing(probe: Probe, tag: string): Listing {
  const { data } = JSON.parse(bodyOf(probe.answer)) as ModelList;
  const names = data.map(({ id }) => id)
    .filter((id) => id.startsWith(`${tag}-`));
  const marks = [...new Set(names.map((name) => name.split(".")[0] ?? ""))];
  return {
    instance: probe.instance,
    sent_ms: probe.answer.sent_ms,
    marks,
    is_whole: marks.every((mark) =>
      routesOfMark(mark).every((name) => names.includes(name))
    ),
  };
}

/** Returns the listings of complete responses, in the order of their
 * requests. */
export function listingsOf(probes: readonly Probe[], tag: string): Listing[] {
  return probes
    .filter(({ answer }) => answer.status === STATUS_OK && answer.ended)
    .map((probe) => toListing(probe, tag))
    .sort((a, b) => a.sent_ms - b.sent_ms);
}

function latestChange(listing: Listing): number {
  return Math.max(0, ...listing.marks.map(numberOfMark));
}

function checkWhole(listing: Listing): readonly string[] {
  if (listing.is_whole && listing.marks.length <= 1) return [];
  return [`a partial change was in force: ${listing.marks.join(" and ")}`];
}

function checkRefused(
  listing: Listing,
  views: readonly ChangeView[],
): readonly string[] {
  const refused_marks = new Set(
    views.filter((v) => !["accepted", "unknown"].includes(v.outcome))
      .map((v) => v.mark),
  );
  return listing.marks.filter((mark) => refused_marks.has(mark))
    .map((mark) => `${mark} was refused, but it was in force`);
}

function checkPropagation(
  listing: Listing,
  views: readonly ChangeView[],
  propagation_limit_ms: number,
): readonly string[] {
  const due_views = views.filter((view) =>
    view.outcome === "accepted" &&
    view.replied_ms + propagation_limit_ms <= listing.sent_ms
  );
  const minimum = Math.max(0, ...due_views.map((view) => view.number));
  if (latestChange(listing) >= minimum) return [];
  return [
    `change ${latestChange(listing)} in force, ${minimum} was accepted before`,
  ];
}

function checkOrder(listings: readonly Listing[]): readonly string[] {
  let highest = 0;
  return listings.flatMap((listing) => {
    const number = latestChange(listing);
    if (number < highest) return [`change ${number} in force after ${highest}`];
    highest = number;
    return [];
  });
}

/** True if both operators of a round received a conflict, and no outcome of the
 * loop is unknown. A change of unknown outcome may have caused the conflict. */
function hasNoWinner(
  round_views: readonly ChangeView[],
  views: readonly ChangeView[],
): boolean {
  if (views.some((view) => view.outcome === "unknown")) return false;
  return round_views.every((view) =>
    view.is_invalid || view.outcome === "conflict"
  );
}

/** Checks that exactly one change of a round was accepted, as far as outcomes
 * are known, and that no invalid change was accepted. */
function checkRounds(views: readonly ChangeView[]): readonly string[] {
  const rounds = groupBy(views, (view) => view.number);
  return [...rounds].flatMap(([number, round_views]) => {
    const accepted = round_views.filter((view) => view.outcome === "accepted");
    const invalid = accepted.filter((view) => view.is_invalid);
    return [
      ...(accepted.length > 1 ? [`change ${number} was accepted twice`] : []),
      ...(hasNoWinner(round_views, views)
        ? [`change ${number} was refused to both operators as a conflict`]
        : []),
      ...invalid.map(({ mark }) => `${mark} is broken, but was accepted`),
    ];
  });
}

/** Finds changes that were in force partially, although rejected, or too late,
 * changes that were reverted, and rounds without exactly one accepted
 * change. */
export function checkConfiguration(
  probes: readonly Probe[],
  views: readonly ChangeView[],
  options: ConfigurationCheckOptions,
): readonly string[] {
  const listings = listingsOf(probes, options.tag);
  const found = listings.flatMap((listing) =>
    [
      ...checkWhole(listing),
      ...checkRefused(listing, views),
      ...checkPropagation(listing, views, options.propagation_limit_ms),
    ].map((text) => `${options.nameOf(listing.instance)}: ${text}`)
  );
  const by_instance = groupBy(listings, (listing) => listing.instance);
  const reverted = [...by_instance].flatMap(([instance, instance_listings]) =>
    checkOrder(instance_listings).map((text) =>
      `${options.nameOf(instance)}: ${text}`
    )
  );
  return [...new Set([...checkRounds(views), ...found, ...reverted])];
}
