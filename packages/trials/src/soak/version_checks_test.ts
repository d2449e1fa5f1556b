import { expect, test } from "vitest";
import type { Attempt } from "./checks.ts";
import { checkStreamVersions } from "./version_checks.ts";

const attempt: Attempt = {
  id: "s1",
  kind: "stream",
  workspace: "w",
  model: "m/a1",
  sentAt: 0,
  endedAt: 1,
  status: 200,
  responseId: "s1",
  body: "id: 1\n: v1\ndata: s1.1\n\n",
  complete: false,
  isCrashing: false,
  isKeyValid: true,
};

test("a stream of one version is sound, over several attempts", () => {
  const later = { ...attempt, id: "s2", resumes: "s1" };
  expect(checkStreamVersions([attempt, later])).toEqual([]);
});

test("events of two versions are found within an answer and over attempts", () => {
  const other = "id: 2\n: v2\ndata: s2.2\n\n";
  const joined = { ...attempt, body: attempt.body + other };
  const later = { ...attempt, id: "s2", resumes: "s1", body: other };
  for (const attempts of [[joined], [attempt, later]]) {
    expect(checkStreamVersions(attempts)).toEqual([
      "stream s1 has events of v1 and v2",
    ]);
  }
});
