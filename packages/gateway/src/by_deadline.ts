/** Bounds what a request waits for by the request's own deadline.
 *
 * @module
 */

/** Resolves to the result of `work`, or to undefined at `deadline`, by the
 * monotonic clock: whoever asked must be answered then. `work` goes on.
 *
 * @example
 * ```ts
 * const isLoaded = await byDeadline(load(), arrivedAt + 1500) ?? false;
 * ```
 */
export async function byDeadline<T>(
  work: Promise<T>,
  deadline: number,
): Promise<T | undefined> {
  let timer: NodeJS.Timeout | undefined;
  const passed = new Promise<undefined>((resolve) => {
    const leftMs = Math.max(0, deadline - performance.now());
    timer = setTimeout(() => resolve(undefined), leftMs);
  });
  try {
    return await Promise.race([work, passed]);
  } finally {
    clearTimeout(timer);
  }
}
