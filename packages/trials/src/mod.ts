/** The demonstration, fault matrix, soak test, benchmarks and capacity
 * measurements. Each runs as a script; the package exports nothing.
 *
 * @module
 */
export {};
