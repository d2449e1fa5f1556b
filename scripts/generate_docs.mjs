/** Generates the reference pages of settings, objects and log events. */
import { existsSync, readdirSync, readFileSync, writeFileSync } from "node:fs";

const SETTINGS_SCHEMA = "packages/daemon/schema/settings.json";
const STORED_SCHEMA = "packages/core/schema/stored.json";
const OBJECT_KINDS = [
  "workspace",
  "key",
  "model",
  "adapter",
  "version",
  "route",
  "target",
];
const SYSTEM_KINDS = ["session", "member", "slot", "fleet", "intent"];
const INVARIANT = /code: (\d+),\s*message:\s*[`"]([^`"]*)[`"]/g;
/** Defines the event type and holds no events. */
const EVENT_LOG = "packages/core/src/events.ts";
const EVENT =
  /\/\*\*((?:(?!\*\/)[\s\S])*)\*\/\s+(?:export const )?\w+(?:: LogEvent = |: ){\s*id: (\d+),\s*severity: "(\w+)",\s*text:\s*((?:"[^"]*"(?:\s*\+\s*)?)+)/g;

function readSchema(path) {
  return JSON.parse(readFileSync(path, "utf8"));
}

function formatTable(head, rows) {
  const line = (cells) => `| ${cells.join(" | ")} |`;
  return [line(head), line(head.map(() => "---")), ...rows.map(line)].join(
    "\n",
  );
}

function describeType(schema, node) {
  if (node.$ref !== undefined) {
    const name = node.$ref.split("/").at(-1);
    const target = schema.definitions?.[name];
    return target?.title ?? describeType(schema, target);
  }
  if (node.const !== undefined) return `\`${JSON.stringify(node.const)}\``;
  if (node.enum !== undefined) {
    return node.enum.map((value) => `\`${value}\``).join(", ");
  }
  if (node.oneOf !== undefined) {
    return node.oneOf.map((one) => one.title).join(" or ");
  }
  if (node.type === "array") {
    return `list of ${describeType(schema, node.items)}`;
  }
  return node.type ?? "";
}

function describeLimits(node) {
  const limits = [];
  if (node.minimum !== undefined) limits.push(`at least ${node.minimum}`);
  if (node.exclusiveMinimum !== undefined) {
    limits.push(`above ${node.exclusiveMinimum}`);
  }
  if (node.maximum !== undefined) limits.push(`at most ${node.maximum}`);
  if (node.pattern !== undefined) {
    limits.push(`\`${node.pattern.replaceAll("|", "\\|")}\``);
  }
  return limits.join(", ");
}

function propertyRows(schema, node) {
  const required = new Set(node.required ?? []);
  return Object.entries(node.properties ?? {}).map(([name, property]) => [
    `\`${name}\``,
    describeType(schema, property),
    required.has(name)
      ? "needed"
      : property.default === undefined
      ? ""
      : `\`${JSON.stringify(property.default)}\``,
    describeLimits(property),
    property.description ?? "",
  ]);
}

const PROPERTY_HEAD = ["name", "type", "default", "limits", "meaning"];

function describeObject(schema, node) {
  return `## ${node.title}\n\n${node.description ?? ""}\n\n` +
    formatTable(PROPERTY_HEAD, propertyRows(schema, node)) + "\n";
}

function writeSettingsPage() {
  const schema = readSchema(SETTINGS_SCHEMA);
  const nested = Object.values(schema.properties).filter((p) => p.properties);
  const text = "# Settings of banyanlb\n\nGenerated from the schema; do not " +
    "edit. JSON with comments and trailing\ncommas. `banyanlb check " +
    "--settings FILE` names file, line, path and remedy of\neach fault.\n\n" +
    formatTable(PROPERTY_HEAD, propertyRows(schema, schema)) + "\n\n" +
    nested.map((node) => describeObject(schema, node)).join("\n");
  writeFileSync("docs/SETTINGS.md", text);
}

function servesObjects(schema) {
  return schema.definitions.route.properties.serves.oneOf
    .map((node) => describeObject(schema, node));
}

function writeObjectsPage() {
  const schema = readSchema(STORED_SCHEMA);
  const describe = (kind) => describeObject(schema, schema.definitions[kind]);
  const text = "# Objects\n\nGenerated from the schema; do not edit. " +
    "Operators edit the first kinds as files\nof JSON with comments; the " +
    "system keeps the others itself.\n\n" +
    [
      ...OBJECT_KINDS.map(describe),
      ...servesObjects(schema),
      "# Objects that the system keeps\n",
      ...SYSTEM_KINDS.map(describe),
    ].join("\n");
  writeFileSync("docs/OBJECTS.md", text);
}

function readEvents(path) {
  const text = readFileSync(path, "utf8");
  const expected = [...text.matchAll(/\bid: \d+,\s*severity:/g)].length;
  const found = [...text.matchAll(EVENT)];
  if (found.length !== expected) {
    throw new Error(`${path}: give each event a doc comment`);
  }
  return found.map(([, doc, id, severity, message]) => ({
    id: Number(id),
    severity,
    message: [...message.matchAll(/"([^"]*)"/g)].map((part) => part[1]).join(
      "",
    ),
    doc: doc.replace(/\s*\n\s*\*\s?/g, " ").trim(),
  }));
}

/** Returns the codes and messages of the invariants in a package's sources. */
function readInvariants(name) {
  const dir = `packages/${name}/src`;
  return readdirSync(dir)
    .filter((file) => file.endsWith(".ts") && !file.endsWith("_test.ts"))
    .filter((file) => file !== "invariant.ts")
    .flatMap((file) => {
      const text = readFileSync(`${dir}/${file}`, "utf8");
      return [...text.matchAll(INVARIANT)].map(([, code, message]) => ({
        code: Number(code),
        message: message.replaceAll("${", "{"),
      }));
    })
    .sort((a, b) => a.code - b.code);
}

function writeEventsPage() {
  const events = readdirSync("packages")
    .map((name) => `packages/${name}/src/events.ts`)
    .filter((path) => existsSync(path) && path !== EVENT_LOG)
    .flatMap(readEvents)
    .sort((a, b) => a.id - b.id);
  const ids = new Set(events.map((event) => event.id));
  if (ids.size !== events.length) throw new Error("two events share an id");
  const rows = events.map(({ id, severity, message, doc }) => [
    String(id),
    severity,
    message,
    doc,
  ]);
  const text =
    "# Log events\n\nGenerated from the packages' event modules; do " +
    "not edit. Logs are JSON lines on\nstandard error; `event` holds the " +
    "number.\n\n" +
    formatTable(["event", "severity", "text", "meaning"], rows) + "\n";
  const invariants = readdirSync("packages").flatMap(readInvariants)
    .map(({ code, message }) => [String(code), message]);
  const failures = "\n## Invariants\n\nFaults of the program: please report " +
    "them with the log.\n\n" + formatTable(["code", "what failed"], invariants);
  writeFileSync("docs/EVENTS.md", `${text}${failures}\n`);
}

writeSettingsPage();
writeObjectsPage();
writeEventsPage();
