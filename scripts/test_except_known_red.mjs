/** Runs `npm test` and passes over exactly the failures that KNOWN-RED.txt lists.
 *
 * An entry names a test in a line `test: FILE > NAME`. Every other failure, an
 * error outside the tests, and a listed test that does not exist fail the run.
 *
 * Usage: node scripts/test_except_known_red.mjs
 */
import { spawn } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join, relative } from "node:path";
import process from "node:process";

const LIST = "KNOWN-RED.txt";
const TEST_LINE = /^\s*test: (\S+) > (.+?)\s*$/gm;
const UNHANDLED = /Unhandled (Errors?|Rejections?)/;

function readKnownRed() {
  if (!existsSync(LIST)) return [];
  return [...readFileSync(LIST, "utf8").matchAll(TEST_LINE)]
    .map(([, file, name]) => `${file} > ${name}`);
}

/** Runs the tests; resolves to the exit code and whether an error occurred
 * outside the tests. */
function runTests(reportPath) {
  return new Promise((resolve, reject) => {
    const child = spawn("npm", [
      "test",
      "--",
      "--reporter=default",
      "--reporter=json",
      `--outputFile.json=${reportPath}`,
    ], { stdio: ["ignore", "pipe", "inherit"] });
    let output = "";
    child.stdout.on("data", (chunk) => {
      output += chunk;
      process.stdout.write(chunk);
    });
    child.on("error", reject);
    child.on(
      "close",
      (code) => resolve({ code, hasUnhandled: UNHANDLED.test(output) }),
    );
  });
}

function readResults(reportPath) {
  if (!existsSync(reportPath)) return [];
  const report = JSON.parse(readFileSync(reportPath, "utf8"));
  return report.testResults.flatMap((result) => {
    const file = relative(process.cwd(), result.name);
    // A file that could not be loaded has failed without a failed test.
    if (result.status === "failed" && result.assertionResults.length === 0) {
      return [{ name: file, status: "failed" }];
    }
    return result.assertionResults.map((test) => ({
      name: `${file} > ${test.fullName}`,
      status: test.status,
    }));
  });
}

const directory = mkdtempSync(join(tmpdir(), "banyanlb-tests-"));
const reportPath = join(directory, "report.json");
const { code, hasUnhandled } = await runTests(reportPath);
const results = readResults(reportPath);
rmSync(directory, { recursive: true });

const known = new Set(readKnownRed());
const failed = results.filter(({ status }) => status === "failed");
const passedOver = failed.filter(({ name }) => known.has(name));
const unexpected = failed.filter(({ name }) => !known.has(name));
const missing = [...known].filter((name) =>
  !results.some((result) => result.name === name)
);
for (const { name } of passedOver) console.log(`passed over: ${name}`);
for (const { name } of unexpected) console.log(`FAILED: ${name}`);
for (const name of missing) console.log(`${LIST} lists no test: ${name}`);
if (hasUnhandled) console.log("FAILED: an error outside the tests");
const isExplained = code === 0 || passedOver.length > 0;
const isGreen = results.length > 0 && isExplained && unexpected.length === 0 &&
  missing.length === 0 && !hasUnhandled;
process.exit(isGreen ? 0 : 1);
