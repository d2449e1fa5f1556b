/** All faults by name, with repeated and paired faults.
 *
 * @module
 */
import {
  type Fault,
  PairedFault,
  RepeatedFault,
  SimpleFault,
} from "./fault.ts";
import { link_faults } from "./link_faults.ts";
import { operator_faults } from "./operator_faults.ts";
import { process_faults } from "./process_faults.ts";
import { RandomFault } from "./random_fault.ts";
import { store_faults } from "./store_faults.ts";
import { engine_faults, service_faults } from "./target_faults.ts";

const none = new SimpleFault(
  { name: "none", hold_ms: 0 },
  () => Promise.resolve(() => Promise.resolve()),
);

const single_faults: readonly Fault[] = [
  none,
  ...process_faults,
  ...link_faults,
  ...store_faults,
  ...engine_faults,
  ...service_faults,
  ...operator_faults,
];

const faults_by_name = new Map(
  single_faults.map((fault) => [fault.name, fault]),
);

/** Names of the faults that apply to every property, whatever its cluster
 * options. */
export const common_faults: readonly string[] = [
  none,
  ...process_faults,
  ...link_faults,
  ...store_faults,
  ...operator_faults,
].map((fault) => fault.name);

/** Names of the engine faults. */
export const engine_fault_names = engine_faults.map((fault) => fault.name);

/** Names of the service faults. */
export const service_fault_names = service_faults.map((fault) => fault.name);

/** Names of repeated faults: injected, lifted and injected again. */
export const repeated_faults: readonly string[] = [
  "kill_entry*2",
  "kill_owner*2",
  "freeze_entry*2",
  "freeze_owner*2",
  "store_refuses*2",
  "store_hangs*2",
  "cut_regions*2",
  "cut_peers*2",
];

/** Names of pairs of faults that are injected together. */
export const paired_faults: readonly string[] = [
  "kill_owner+store_hangs",
  "freeze_owner+store_refuses",
  "freeze_entry+kill_owner",
  "cut_peers+store_slow",
  "cut_regions+kill_owner",
  "stop_entry+kill_owner",
  "stop_owner+store_answers_slowly",
  "lost_answer_fleet+kill_owner",
  "two_operators+freeze_owner",
];

const RANDOM_FAULT_NAME = /^random-(\d+)$/;

/** Faults that a random history draws from. */
const pool: readonly Fault[] = [
  ...process_faults,
  ...link_faults,
  ...store_faults,
  ...engine_faults,
  ...operator_faults,
];

/** Returns the fault of a name: `NAME`, `NAME*2`, `NAME+NAME` or
 * `random-NUMBER`. Throws if there is no such fault. */
export function findFault(name: string): Fault {
  const number = RANDOM_FAULT_NAME.exec(name)?.[1];
  if (number !== undefined) return new RandomFault(Number(number), pool);
  const [first = "", second] = name.split("+");
  if (second !== undefined) {
    return new PairedFault(findFault(first), findFault(second));
  }
  if (name.endsWith("*2")) {
    return new RepeatedFault(findFault(name.slice(0, -2)));
  }
  const fault = faults_by_name.get(name);
  if (fault !== undefined) return fault;
  throw new Error(
    `no fault ${name}; one of ${[...faults_by_name.keys()].join(", ")}`,
  );
}
