import { spawnSync } from "node:child_process";
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { afterEach, expect, test } from "vitest";

const ROOT = fileURLToPath(new URL("../../../..", import.meta.url));
const SCRIPT = join(ROOT, "scripts/check_metrics_page.mjs");
const PAGE = "docs/METRICS.md";
const copies: string[] = [];

function check(root: string) {
  const run = spawnSync(process.execPath, [SCRIPT, root], { encoding: "utf8" });
  return { status: run.status, faults: run.stderr.trim() };
}

/** Checks an edited page against a copy of the sources. Returns the faults. */
function checkEditedPage(edit: (page: string) => string) {
  const copy = mkdtempSync(join(tmpdir(), "banyanlb-page-"));
  copies.push(copy);
  for (const name of ["core", "rate"]) {
    const src = join("packages", name, "src");
    cpSync(join(ROOT, src), join(copy, src), { recursive: true });
  }
  cpSync(join(ROOT, PAGE), join(copy, PAGE));
  const page = readFileSync(join(ROOT, PAGE), "utf8");
  writeFileSync(join(copy, PAGE), edit(page));
  return check(copy).faults;
}

afterEach(() => {
  for (const copy of copies.splice(0)) rmSync(copy, { recursive: true });
});

test("the page names every metric, its tags and every refusal kind", () => {
  expect(check(ROOT)).toEqual({ status: 0, faults: "" });
});

test("a missing metric, tag or refusal kind is reported", () => {
  expect(
    checkEditedPage((page) => page.replace("| `rate.asks`", "| `rate.ask`")),
  )
    .toContain("rate.asks is missing");
  expect(checkEditedPage((page) => page.replace("`kind`, `how`", "`kind`")))
    .toContain("rate.refused lacks the tag how");
  expect(
    checkEditedPage((page) => page.replace("| `forbidden` ", "| `denied` ")),
  )
    .toContain("refusal kind forbidden is missing");
});
