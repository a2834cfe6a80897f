import assert from "node:assert/strict";
import { once } from "node:events";
import { Agent, createServer, request as sendRequest } from "node:http";
import { type AddressInfo, createServer as createRawServer, type Socket } from "node:net";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { createUpstreamAgent } from "./upstreamAgent.js";
import { callUpstream } from "./upstreamCall.js";

const HOLD_MILLISECONDS = 50;

test("a kept connection that the upstream closes before the request is sent is not taken for an unreachable one", async context => {
    const sockets: Socket[] = [];
    const server = createServer((_request, response) => void response.end("answer"));
    server.on("connection", socket => void sockets.push(socket));
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const agent = new Agent({ keepAlive: true });
    context.after(() => {
        agent.destroy();
        server.closeAllConnections();
        server.close();
    });
    await new Promise<void>(resolve => {
        sendRequest({ agent, host: "127.0.0.1", port }, answer => answer.resume().on("end", resolve)).end();
    });
    await delay(HOLD_MILLISECONDS);
    sockets[0]?.end();
    const outcome = await new Promise<string>(resolve => {
        const call = callUpstream({
            acts: { afterReading: step => void setImmediate(step) },
            agent,
            address: `127.0.0.1:${port}`,
            method: "GET",
            path: "/",
            headers: () => ["host", "shop"],
            body: Buffer.alloc(0),
            connectTimeoutMilliseconds: 1_000,
            onConnected: () => void setTimeout(() => call.send(), HOLD_MILLISECONDS),
            onHead: () => undefined,
            onData: () => undefined,
            onEnd: () => resolve("answered"),
            onFailure: (failure, _detail, code) => resolve(`${failure} ${code ?? ""}`),
        });
    });
    assert.ok(
        !outcome.startsWith("not-connected"),
        `the call ended as ${outcome}, though the upstream accepts connections`,
    );
});

test("bytes that come on a kept connection before the request is sent are not taken for its answer", async context => {
    const sockets: Socket[] = [];
    let received = 0;
    const answer = (text: string): string => `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
    const server = createRawServer(socket => {
        sockets.push(socket);
        socket.on("error", () => undefined);
        socket.on("data", () => {
            received += 1;
            socket.write(answer("own"));
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const agent = createUpstreamAgent(4);
    context.after(() => {
        agent.destroy();
        sockets.forEach(socket => void socket.destroy());
        server.close();
    });
    await new Promise<void>(resolve => {
        sendRequest({ agent, host: "127.0.0.1", port }, head => head.resume().on("end", resolve)).end();
    });
    await delay(HOLD_MILLISECONDS);
    let body = "";
    const outcome = await new Promise<string>(resolve => {
        const call = callUpstream({
            acts: { afterReading: step => void setImmediate(step) },
            agent,
            address: `127.0.0.1:${port}`,
            method: "GET",
            path: "/",
            headers: () => ["host", "shop"],
            body: Buffer.alloc(0),
            connectTimeoutMilliseconds: 1_000,
            onConnected: () => {
                sockets[0]?.write(answer("another's"));
                setTimeout(() => call.send(), HOLD_MILLISECONDS);
            },
            onHead: () => undefined,
            onData: chunk => {
                body += chunk.toString();
            },
            onEnd: () => resolve(`answered ${body}, ${received} requests received`),
            onFailure: failure => resolve(failure),
        });
    });
    assert.ok(!outcome.startsWith("answered another's"), outcome);
});
