import { request } from "node:http";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { expect, test } from "vitest";
import { trackCompletion } from "./response_completion.ts";

const HEAD = "HTTP/1.1 200 OK\r\n";

/** Sends a request to a server that writes `text` and then calls `end`.
 * Resolves to whether the response was detected as complete. */
async function fetchIsComplete(
  text: string,
  end: (socket: Socket) => void,
): Promise<boolean> {
  const server = createServer((socket) => {
    // Some tests reset the connection.
    socket.on("error", () => undefined);
    socket.once("data", () => {
      socket.write(text);
      end(socket);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const result = await new Promise<boolean>((resolve) => {
    const req = request({ host: "127.0.0.1", port });
    req.on("error", () => resolve(false));
    req.on("response", (response) => {
      const isComplete = trackCompletion(response);
      response.on("error", () => resolve(false));
      response.on("end", () => resolve(isComplete()));
      response.resume();
    });
    req.end();
  });
  server.close();
  return result;
}

test("a response without a length is incomplete after a reset", async () => {
  expect(await fetchIsComplete(`${HEAD}\r\nabc`, (s) => s.resetAndDestroy()))
    .toBe(false);
});

test("a reset some time after the last bytes is detected", async () => {
  const reset = (s: Socket) => setTimeout(() => s.resetAndDestroy(), 30);
  expect(await fetchIsComplete(`${HEAD}\r\nabc`, reset)).toBe(false);
});

test("a response without a length is complete after an orderly close", async () => {
  expect(await fetchIsComplete(`${HEAD}\r\nabc`, (s) => s.end())).toBe(true);
});

test("a response shorter than its Content-Length is incomplete", async () => {
  expect(
    await fetchIsComplete(
      `${HEAD}Content-Length: 9\r\n\r\nabc`,
      (s) => s.end(),
    ),
  ).toBe(false);
});

test("a chunked response without its last chunk is incomplete", async () => {
  const text = `${HEAD}Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n`;
  expect(await fetchIsComplete(text, (s) => s.end())).toBe(false);
});
