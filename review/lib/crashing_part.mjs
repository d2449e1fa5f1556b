/** Requests come with a prompt part that crashes engines, beside sound ones that
 * share their first part and their caller. */
import { Client } from "./client.mjs";
import { Engine } from "./engine.mjs";
import { runCase } from "./run_case.mjs";
import { configuration, pause } from "./world.mjs";

const INSTANCES = 3;
const ENGINES = 6;
const BACK_AFTER_MS = 3000;
const MODEL_LOAD_MS = 1900;
const EVENTS = 20;
const EVENT_MS = 50;
const POISON_EVERY_MS = 1000;
const SOUND_EVERY_MS = 50;
const TROUBLE_MS = 40_000;
const STABLE_WINDOW_MS = 3000;

let starts = 0;

/** A model engine that ends when it begins to write an answer on the part, and
 * is back, empty and under another id, some seconds later. */
class CrashingEngine extends Engine {
  modelReadyAt = 0;
  isDown = false;

  report() {
    const report = super.report();
    const isHeld = performance.now() >= this.modelReadyAt;
    return { ...report, models: isHeld ? report.models : [] };
  }

  orderModel() {
    if (this.modelReadyAt !== Infinity) return 200;
    this.seq += 1;
    this.modelReadyAt = performance.now() + MODEL_LOAD_MS;
    setTimeout(() => this.isDown || this.writeEntry(), MODEL_LOAD_MS + 10);
    return 202;
  }

  async run(req, res) {
    const id = req.headers["request-id"];
    if (performance.now() < this.modelReadyAt) {
      res.writeHead(421, { "Request-Id": id, "Content-Length": 0 }).end();
      return;
    }
    const isPoison = req.headers["prompt-prefix"].includes(`,${this.poison}:`);
    this.world.record("run", { id, engine: this.id, isPoison });
    this.running += 1;
    res.writeHead(200, {
      "Request-Id": id,
      "Response-Seal": `seal-${id}`,
      "Content-Type": "text/event-stream",
      "Weight-Versions": "1",
    });
    res.flushHeaders();
    if (isPoison) return setTimeout(() => this.crash(id), 30);
    const from = Number(req.headers["last-event-id"] ?? 0);
    for (let n = from + 1; n <= EVENTS && !res.destroyed; n += 1) {
      await pause(EVENT_MS);
      res.write(`id: ${n}\ndata: ${n}\n\n`);
    }
    this.running -= 1;
    res.end();
  }

  crash(id) {
    if (this.isDown) return;
    this.isDown = true;
    this.world.record("crash", { id, engine: this.id });
    this.stop();
    setTimeout(async () => {
      if (this.isOver) return;
      starts += 1;
      this.id = `i-${this.n}-again-${starts}`;
      this.born = Date.now();
      this.seq = 0;
      this.running = 0;
      this.modelReadyAt = Infinity;
      this.isDown = false;
      await this.start();
    }, BACK_AFTER_MS);
  }
}

/** Plays the case of the script at `url`. `poison` is the id of the part that
 * crashes engines, `following` the number of parts after it. */
export const playCrashingPart = (url, { poison, following, idOf }) =>
  runCase(url, async (world, hasTrouble) => {
    world.configure(configuration(3));
    const engines = [];
    for (let n = 0; n < ENGINES; n += 1) {
      const engine = new CrashingEngine(world, {
        n,
        service: "assistant-llm",
        poison,
      });
      await engine.start();
      engines.push(engine);
    }
    for (let i = 0; i < INSTANCES; i += 1) world.start(i);
    await world.ready();
    await pause(4000);

    const client = new Client(world);
    const answers = [];
    let count = 0;
    const ipAt = (n) => world.instances[n % INSTANCES].ip;
    /** No two prompts are alike, beyond the first part and the one that crashes. */
    const send = (parts) => {
      count += 1;
      const turns = Array.from(
        { length: following },
        (_, i) => idOf(count * 64 + i),
      );
      const prompt = [...parts, ...turns].map((part) => `${part}:40`).join(",");
      return client.send(ipAt(count), {
        route: "chat",
        deadlineMs: 15_000,
        headers: {
          Model: "m0",
          "Token-Count": "480,100",
          "Prompt-Prefix": prompt,
        },
      });
    };
    const until = performance.now() + TROUBLE_MS;
    let nextPoisonAt = performance.now() + 4000;
    while (performance.now() < until) {
      answers.push(send([idOf(0)]));
      if (hasTrouble && performance.now() >= nextPoisonAt) {
        nextPoisonAt += POISON_EVERY_MS;
        send([idOf(0), poison]);
      }
      await pause(SOUND_EVERY_MS);
    }
    const done = await Promise.all(answers);
    client.close();
    for (const engine of engines) {
      engine.isOver = true;
      if (!engine.isDown) engine.stop();
    }

    const lines = world.lines.map((line) => JSON.parse(line));
    const crashes = lines.filter((l) => l.what === "crash");
    const fifthAt = crashes[4]?.ms ?? Infinity;
    const late = lines.filter((l) =>
      l.what === "run" && l.isPoison && l.ms > fifthAt + STABLE_WINDOW_MS
    );
    const began = new Set(
      lines.filter((l) => l.what === "run").map((l) => l.id),
    );
    return {
      isBroken: late.length > 3,
      parts: following + 2,
      crashes: crashes.length,
      late: late.length,
      sound: done.length,
      soundWhole: done.filter((a) => a.status === 200 && a.complete).length,
      soundLost: done.filter((a) => began.has(a.id) && !a.complete).length,
    };
  });
