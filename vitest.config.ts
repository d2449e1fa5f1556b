import { defineConfig } from "vitest/config";

const TEST_TIMEOUT_MS = 120_000;

export default defineConfig({
  test: {
    include: ["packages/*/src/**/*_test.ts", "platform/src/**/*_test.ts"],
    testTimeout: TEST_TIMEOUT_MS,
    hookTimeout: TEST_TIMEOUT_MS,
    maxWorkers: 4,
  },
});
