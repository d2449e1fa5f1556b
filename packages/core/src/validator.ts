/** Validates JSON values against the committed schemas.
 *
 * @module
 */
import { Ajv, type ErrorObject, type ValidateFunction } from "ajv";
import { err, ok, type Result } from "neverthrow";

/** One violation of the schema, with its path in the validated value. */
export interface Violation {
  readonly path: string;
  readonly message: string;
}

/** Validates values of one type.
 *
 * @example
 * ```ts
 * const validateFleet = createValidator<Fleet>(stored_schema, "fleet");
 * validateFleet({ generation: 1 }).isErr(); // true: members are missing
 * ```
 */
export type Validator<T> = (
  value: unknown,
) => Result<T, readonly Violation[]>;

function describeViolation(error: ErrorObject): Violation {
  const extra = error.params["additionalProperty"] ??
    error.params["allowedValues"] ?? error.params["allowedValue"];
  const detail = extra === undefined ? "" : ` (${JSON.stringify(extra)})`;
  return {
    path: error.instancePath === "" ? "/" : error.instancePath,
    message: `${error.message ?? error.keyword}${detail}`,
  };
}

type Schema = Readonly<Record<string, unknown>>;

/** Compilers by schema, cached because each takes several megabytes. */
const compilers = new WeakMap<Schema, Ajv>();

function getCompiler(schema: Schema): Ajv {
  const cached = compilers.get(schema);
  if (cached !== undefined) return cached;
  const ajv = new Ajv({ allErrors: true, strict: false });
  ajv.addSchema(schema, "schema");
  compilers.set(schema, ajv);
  return ajv;
}

/** Compiles a validator of a schema or of one of its definitions. */
export function createValidator<T>(
  schema: Readonly<Record<string, unknown>>,
  definition?: string,
): Validator<T> {
  const ajv = getCompiler(schema);
  const ref = definition === undefined
    ? "schema"
    : `schema#/definitions/${definition}`;
  const validate = ajv.getSchema(ref) as ValidateFunction<T> | undefined;
  if (validate === undefined) throw new Error(`schema has no ${ref}`);
  return (value) => {
    if (validate(value)) return ok(value);
    return err((validate.errors ?? []).map(describeViolation));
  };
}
