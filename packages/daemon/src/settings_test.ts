import { expect, test } from "vitest";
import { formatFaults, parseSettings } from "./settings.ts";

test("parseSettings reports file, line, path and remedy of each error", () => {
  const text = '{\n  // a comment\n  "instance": "a",\n  "listen": {\n' +
    '    "caller_port": "80"\n  }\n}\n';
  const faults = parseSettings(text, "s.jsonc")._unsafeUnwrapErr();
  const lines = formatFaults(faults);
  expect(lines).toContain("s.jsonc:5: /listen/caller_port: must be integer");
  expect(lines).toContain("listen: Where this instance listens.");
  expect(lines).toContain("must have required property 'store_url'");
});

test("parseSettings reports the line of a JSON syntax error", () => {
  const faults = parseSettings('{\n"instance": \n}', "s.jsonc");
  expect(faults._unsafeUnwrapErr()[0]?.line).toBe(3);
});
