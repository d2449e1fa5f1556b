/** List of the properties that the fault matrix checks.
 *
 * @module
 */
import type { PropertyTrial } from "../property_trial.ts";
import { AtMostOnce } from "./at_most_once.ts";
import { RandomHistories } from "./random_histories.ts";
import { RateAndBurst } from "./rate_and_burst.ts";
import { RightAdapter } from "./right_adapter.ts";
import { WholeAnswers } from "./whole_answers.ts";
import { Configuration } from "./configuration.ts";
import { GracefulShutdown } from "./graceful_shutdown.ts";
import { Isolation } from "./isolation.ts";
import { LeavingTarget } from "./leaving_target.ts";
import { Ownership } from "./ownership.ts";
import { StoreOutage } from "./store_outage.ts";
import { WithdrawnKey } from "./withdrawn_key.ts";

/** Trials of all properties, in the order in which they run. */
export const properties: readonly PropertyTrial[] = [
  new AtMostOnce(),
  new RateAndBurst(),
  new RightAdapter(),
  new WholeAnswers(),
  new RandomHistories(),
  new WithdrawnKey(),
  new StoreOutage(),
  new Configuration(),
  new LeavingTarget(),
  new GracefulShutdown(),
  new Isolation(),
  new Ownership(),
];
