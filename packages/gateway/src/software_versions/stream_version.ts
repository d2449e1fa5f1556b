/** The software version that the engines of one answer must have.
 *
 * @module
 */
import type { Engine } from "@banyanlb/serving";

/** The version that began a stream, from its first event on. What two versions
 * write does not fit together, and engines do not check it. */
export class StreamVersion {
  #required: string | undefined;

  /** The version that engines must have from now on; undefined for any. */
  get required(): string | undefined {
    return this.#required;
  }

  /** Records that events of this engine are forwarded. */
  recordEvents({ softwareVersion }: Pick<Engine, "softwareVersion">): void {
    this.#required ??= softwareVersion;
  }
}
