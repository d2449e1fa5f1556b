import { existsSync, readdirSync, readFileSync } from "node:fs";
import { dirname, join, relative } from "node:path";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

const ROOT = fileURLToPath(new URL("../../../..", import.meta.url));
const OPERATORS = join(ROOT, "docs/operators");
const LINK = /\]\(([^)#\s]+)(?:#[^)]*)?\)/g;
const REFUSAL_KIND = /^ {2}\| "(\w+)"/gm;
const EVENT_ID = /\bid: (\d{3}),/g;

/** References to events in text and tables: three-digit numbers (100 to 799)
 * after the word "event" or "events", also in a list. */
const EVENT_REFERENCES = /[Ee]vents? ((?:\d{3}(?:, | and | or )?)+)/g;

function markdownFiles(): readonly string[] {
  const docs = readdirSync(join(ROOT, "docs"), { recursive: true })
    .map((file) => join(ROOT, "docs", String(file)))
    .filter((file) => file.endsWith(".md"));
  return [join(ROOT, "README.md"), join(ROOT, "DEVELOPERS.md"), ...docs];
}

function sourceText(file: string): string {
  return readFileSync(join(ROOT, file), "utf8");
}

function eventIds(): ReadonlySet<string> {
  const packages = readdirSync(join(ROOT, "packages"));
  const files = packages.map((name) => `packages/${name}/src/events.ts`)
    .filter((file) => existsSync(join(ROOT, file)));
  return new Set(
    files.flatMap((file) =>
      [...sourceText(file).matchAll(EVENT_ID)].map((match) => `${match[1]}`)
    ),
  );
}

test("every link between the pages points to an existing file", () => {
  const broken = markdownFiles().flatMap((file) =>
    [...readFileSync(file, "utf8").matchAll(LINK)]
      .map((match) => `${match[1]}`)
      .filter((link) => !/^[a-z]+:/.test(link))
      .filter((link) => !existsSync(join(dirname(file), link)))
      .map((link) => `${relative(ROOT, file)}: ${link}`)
  );
  expect(broken).toEqual([]);
});

test("the operators' index names every page and every refusal kind", () => {
  const index = readFileSync(join(OPERATORS, "README.md"), "utf8");
  const pages = readdirSync(OPERATORS).filter((name) => name !== "README.md");
  const kinds = [
    ...sourceText("packages/core/src/refusal.ts").matchAll(REFUSAL_KIND),
  ]
    .map((match) => `${match[1]}`);
  expect(kinds.length).toBeGreaterThan(0);
  expect(pages.filter((name) => !index.includes(`(${name})`))).toEqual([]);
  expect(kinds.filter((kind) => !index.includes(`\`${kind}\``))).toEqual([]);
});

test("the operators' pages name only events that exist", () => {
  const ids = eventIds();
  expect(ids.size).toBeGreaterThan(0);
  const unknown = readdirSync(OPERATORS).flatMap((name) => {
    const text = readFileSync(join(OPERATORS, name), "utf8")
      .replaceAll(/\s+/g, " ");
    const named = [...text.matchAll(EVENT_REFERENCES)]
      .flatMap((match) => `${match[1]}`.match(/\d{3}/g) ?? []);
    return named.filter((id) => !ids.has(id)).map((id) => `${name}: ${id}`);
  });
  expect(unknown).toEqual([]);
});
