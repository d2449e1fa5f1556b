/** Version of the daemon.
 *
 * @module
 */

/** Version of all packages of the repository. */
export const VERSION = "0.1.0";
