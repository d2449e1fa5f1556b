/** Whether this instance reaches the engines of a service.
 *
 * A single engine that is silent or refuses connections may be slow, or gone. If
 * most of those that are asked do, it is rather the instance that has no path to
 * them: then others serve its callers, and its engines need other owners.
 *
 * @module
 */

/** How long an engine may be silent while something waits for it, in
 * milliseconds. */
const SILENT_MS = 600;

/** How long an engine that was heard of, or refused a connection, shows that
 * there is a path, or none, in milliseconds. */
const EVIDENCE_MS = 2000;

/** Number of engines, and their ratio to those that are reached, from which the
 * instance has no path. */
const BLOCKED_MIN = 2;
const BLOCKED_RATIO = 2;

/** Number of engines that must answer on new connections before there is a path
 * again. */
const RESTORED_MIN = 2;

/** How long such an answer counts, in milliseconds. Some of the engines may be gone,
 * so the tries between may fail. */
const ANSWER_VALID_MS = 3000;

/** An answer or a connection that something waits for. */
export interface Expectation {
  readonly engine: string;
  readonly since: number;
}

/** What is known of the path to one engine. */
interface Sighting {
  readonly service: string;
  readonly expected: Set<Expectation>;
  heardAt: number;
  /** When a connection was last refused, and when one was last made. */
  refusedAt: number;
  connectedAt: number;
  /** When a call was last given up without an answer. */
  unansweredAt: number;
}

/** What is known of the paths to the engines of a service. */
export interface ServiceReach {
  /** Engines to which there is no path at present. */
  readonly blocked: readonly string[];
  /** Number of engines that were heard of lately. */
  readonly openCount: number;
}

/** The change of whether a service's engines are reached. */
export interface ReachChange extends ServiceReach {
  readonly service: string;
  readonly isCut: boolean;
}

/** The engines that this instance reaches, as its requests and orders show it. */
export class EngineReach {
  readonly #sightings = new Map<string, Sighting>();
  /** The services whose engines are not reached, with the engines that have
   * answered on a new connection since, and when. */
  readonly #cut = new Map<string, Map<string, number>>();

  /** Records that something is asked of an engine at `now`. */
  expect(engine: string, service: string, now: number): Expectation {
    const expectation = { engine, since: now };
    this.#sightingOf(engine, service).expected.add(expectation);
    return expectation;
  }

  /** Records that nothing waits for an expectation any more. */
  end(expectation: Expectation): void {
    this.#sightings.get(expectation.engine)?.expected.delete(expectation);
  }

  /** Records that bytes of an engine have arrived. */
  recordHeard(engine: string, now: number): void {
    const sighting = this.#sightings.get(engine);
    if (sighting !== undefined) sighting.heardAt = now;
  }

  /** Records whether an engine took a new connection. One that does need not have
   * read anything: its machine takes connections for it. */
  recordConnection(engine: string, isMade: boolean, now: number): void {
    const sighting = this.#sightings.get(engine);
    if (sighting === undefined) return;
    if (isMade) sighting.connectedAt = now;
    else sighting.refusedAt = now;
  }

  /** Records that an engine answered on a new connection while there was no path to
   * the engines of its service. Old connections may live on. */
  recordTry(engine: string, service: string, now: number): void {
    this.#cut.get(service)?.set(engine, now);
  }

  /** Whether an engine has answered so lately, while there was no path. */
  hasAnswered(engine: string, service: string, now: number): boolean {
    const answeredAt = this.#cut.get(service)?.get(engine) ?? -Infinity;
    return now - answeredAt < ANSWER_VALID_MS;
  }

  /** Records whether an engine answered a call within its time. */
  recordCall(
    engine: string,
    service: string,
    call: { readonly isAnswered: boolean; readonly now: number },
  ): void {
    const sighting = this.#sightingOf(engine, service);
    if (call.isAnswered) sighting.heardAt = call.now;
    else sighting.unansweredAt = call.now;
  }

  /** What is known of the paths to a service's engines at `now`. */
  reachOf(service: string, now: number): ServiceReach {
    const blocked: string[] = [];
    let openCount = 0;
    for (const [engine, sighting] of this.#sightings) {
      if (sighting.service !== service) continue;
      if (isBlocked(sighting, now)) blocked.push(engine);
      else if (now - sighting.heardAt < EVIDENCE_MS) openCount += 1;
    }
    return { blocked, openCount };
  }

  /** Decides again which services' engines are reached, and returns what has
   * changed. What has arrived by `now` must have been recorded. */
  update(now: number): readonly ReachChange[] {
    const changes: ReachChange[] = [];
    const services = new Set(
      [...this.#sightings.values()].map(({ service }) => service),
    );
    for (const service of services) {
      const reach = this.reachOf(service, now);
      const restored = this.#cut.get(service);
      if (restored === undefined) {
        const { blocked, openCount } = reach;
        const isCut = blocked.length >= BLOCKED_MIN &&
          blocked.length > openCount * BLOCKED_RATIO;
        if (!isCut) continue;
        this.#cut.set(service, new Map());
        changes.push({ service, isCut, ...reach });
      } else if (this.#answeredCount(service, now) >= RESTORED_MIN) {
        this.#cut.delete(service);
        this.#forget(service);
        changes.push({ service, isCut: false, ...reach });
      }
    }
    return changes;
  }

  /** Whether this instance has no path to the engines of a service. */
  isCut(service: string): boolean {
    return this.#cut.has(service);
  }

  /** The services whose engines are not reached. */
  get cutServices(): Iterable<string> {
    return this.#cut.keys();
  }

  /** Whether this instance has no path to the engines of some service. */
  get isCutOff(): boolean {
    return this.#cut.size > 0;
  }

  /** Forgets engines that are not listed any more. */
  keepOnly(isListed: (engine: string) => boolean): void {
    for (const engine of this.#sightings.keys()) {
      if (!isListed(engine)) this.#sightings.delete(engine);
    }
  }

  #answeredCount(service: string, now: number): number {
    const engines = [...this.#cut.get(service)?.keys() ?? []];
    return engines.filter((e) => this.hasAnswered(e, service, now)).length;
  }

  /** What was not answered before the path came back shows nothing any more. */
  #forget(service: string): void {
    for (const [engine, sighting] of this.#sightings) {
      if (sighting.service === service) this.#sightings.delete(engine);
    }
  }

  #sightingOf(engine: string, service: string): Sighting {
    let sighting = this.#sightings.get(engine);
    if (sighting === undefined) {
      sighting = {
        service,
        expected: new Set(),
        heardAt: -Infinity,
        refusedAt: -Infinity,
        connectedAt: -Infinity,
        unansweredAt: -Infinity,
      };
      this.#sightings.set(engine, sighting);
    }
    return sighting;
  }
}

function isBlocked(sighting: Sighting, now: number): boolean {
  const { expected, heardAt, refusedAt, connectedAt, unansweredAt } = sighting;
  const isRefusing = refusedAt > connectedAt && now - refusedAt < EVIDENCE_MS;
  const isUnanswered = unansweredAt > heardAt &&
    now - unansweredAt < EVIDENCE_MS;
  if (isRefusing || isUnanswered) return true;
  for (const { since } of expected) {
    if (now - Math.max(since, heardAt) >= SILENT_MS) return true;
  }
  return false;
}
