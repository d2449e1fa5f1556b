/** Generates types and embedded schemas from packages/*\/schema/*.json. */
import { compile } from "json-schema-to-typescript";
import {
  existsSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";

/** Makes every array and property of the generated types read-only. */
function makeReadOnly(code) {
  return code
    .replace(/^(\s+)([A-Za-z_"]\w*"?\??:)/gm, "$1readonly $2")
    .replace(/: ([A-Za-z]+)\[\]/g, ": readonly $1[]")
    .replace(/: \(([^()]+)\)\[\]/g, ": readonly ($1)[]");
}

async function generateFile(dir, out, name) {
  const text = readFileSync(`${dir}/${name}.json`, "utf8");
  const schema = JSON.parse(text);
  const types = await compile(structuredClone(schema), schema.title, {
    bannerComment: "",
    additionalProperties: false,
    cwd: process.cwd(),
    unreachableDefinitions: true,
    strictIndexSignatures: true,
  });
  const id = `${name}_schema`;
  const body = JSON.stringify(schema, null, 2);
  writeFileSync(
    `${out}/${name}.ts`,
    `/** Generated from ${dir}/${name}.json; do not edit. */\n\n` +
      `${makeReadOnly(types)}\n` +
      `/** The JSON schema that the types above come from. */\n` +
      `export const ${id}: Record<string, unknown> = ${body};\n`,
  );
}

for (const pkg of readdirSync("packages")) {
  const dir = `packages/${pkg}/schema`;
  if (!existsSync(dir)) continue;
  const out = `packages/${pkg}/src/generated`;
  // A renamed schema must leave no stale types behind.
  rmSync(out, { recursive: true, force: true });
  mkdirSync(out, { recursive: true });
  for (const file of readdirSync(dir).sort()) {
    await generateFile(dir, out, file.replace(/\.json$/, ""));
  }
}
