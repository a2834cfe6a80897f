/**
 * A few clients send many requests ahead, each of legal size and for another model that nobody serves. The process ends,
 * and with it the orders of ordinary callers that it had passed on.
 *
 * @module
 */
import { createConnection } from "node:net";
import { setTimeout } from "node:timers";
import { setTimeout as delay } from "node:timers/promises";
import {
    announce,
    answerFields,
    HAS_TROUBLE,
    HOST_NAME,
    LIMITS,
    OrderCaller,
    RawServer,
    renderAnswer,
    renderRequest,
    runScript,
    startHosts,
    startStore,
    untilReady,
} from "../support-2/site.mjs";

/** Ordinary callers at each host; each has one order under way. */
const CALLERS = 8;

/** Time that the service works on an order. */
const WORK_MILLISECONDS = 1_000;

/** Connections to each host on which a client sends ahead. */
const CONNECTIONS = 6;

/** Length of the model's name; with it a head stays below `maxHeaderBytes`, which is 16,384. */
const NAME_CHARACTERS = 15_000;

const REQUESTS_PER_CONNECTION = 50_000;
const SECONDS = 90;

/** Connections that the rule allows to be closed without an answer. */
const ALLOWED = 3;

const MODELS = [{ name: "m0", version: 1, adapters: [] }];

const CONFIGURATION = {
    version: 7,
    routes: [
        {
            name: "draft",
            host: HOST_NAME,
            pathPrefix: "/draft/",
            kind: "stream",
            timeoutMs: 15_000,
            targetLatencyMs: 300,
            targetGapMs: 150,
            priority: 1,
            service: "bag-llm",
            maxAttempts: 2,
            sticky: true,
            resumable: true,
        },
        {
            name: "order",
            host: HOST_NAME,
            pathPrefix: "/order/",
            kind: "non_idempotent",
            timeoutMs: 10_000,
            targetLatencyMs: 2_000,
            priority: 2,
            service: "mill-ops",
            maxAttempts: 1,
            sticky: false,
            resumable: false,
        },
    ],
    services: [
        {
            name: "bag-llm",
            healthPath: "/healthz",
            maxConnections: 370,
            engine: {
                slots: 64,
                kvCapacity: 143_878,
                weightsMb: 200_000,
                adapterSlots: 8,
                loadsPerS: 1.4,
                models: [{ name: "m0", weightsMb: 65_500, loadTimeS: 5.2, adapters: 26, adapterMb: 40 }],
            },
        },
        { name: "mill-ops", healthPath: "/healthz", maxConnections: 110 },
    ],
    limits: LIMITS,
};

/** Sends requests ahead on one connection, and drops the answers unread; again on another connection once it is closed. */
function sendAhead(host, name) {
    let isClosed = false;
    let count = 0;
    let socket;
    const connect = () => {
        let sent = 0;
        socket = createConnection({ host: host.ip, port: host.ports.front }).resume();
        const write = () => {
            while (!isClosed && sent < REQUESTS_PER_CONNECTION) {
                sent += 1;
                count += 1;
                const id = `${name}-${count}`;
                const fields = [
                    ["Flamingospread-Model", id.padEnd(NAME_CHARACTERS, "m")],
                    ["Flamingospread-Token-Count", "543,280"],
                    ["Flamingospread-Deadline-Ms", "1000"],
                ];
                if (!socket.write(renderRequest({ path: "/draft/1", id, fields }))) {
                    return;
                }
            }
        };
        socket.on("connect", write);
        socket.on("drain", write);
        socket.on("error", () => undefined);
        socket.on("close", () => setTimeout(() => isClosed || connect(), 200));
    };
    connect();
    return {
        get count() {
            return count;
        },
        close: async () => {
            isClosed = true;
            socket.destroy();
        },
    };
}

await runScript(import.meta.url, async ({ closing, record }) => {
    const store = await startStore();
    closing.push(store);
    const engine = await RawServer.start({
        id: "i-1",
        service: "bag-llm",
        onRequest: (request, { socket }) => {
            const report = { stage: "prefill_decode", models: MODELS, busy: false, sequence: 5, queued: 0, running: 0 };
            const text = JSON.stringify({ ...report, kvUsed: 0, kvTotal: 143_878, handles: 0 });
            if (request.path === "/report") {
                socket.write(renderAnswer(200, [["Content-Type", "application/json"]], text));
                return;
            }
            // Nothing else is asked of it: all requests name models that it does not have.
            const fields = [["Flamingospread-Request-Id", request.id ?? ""], ["Flamingospread-Not-Executed", "1"]];
            socket.write(renderAnswer(request.path === "/order" ? 400 : 421, fields));
        },
    });
    const begun = new Set();
    const orders = await RawServer.start({
        id: "i-2",
        service: "mill-ops",
        onRequest: async (request, { socket }) => {
            if (request.path === "/healthz") {
                socket.write(renderAnswer(200, [["Flamingospread-Instance-Id", "i-2"]]));
                return;
            }
            begun.add(request.id);
            await delay(WORK_MILLISECONDS);
            socket.write(renderAnswer(200, answerFields(request, "i-2.1"), "placed"));
        },
    });
    closing.push(engine, orders);
    store.put("servers/i-1", announce(engine, { models: MODELS }));
    store.put("servers/i-2", announce(orders));
    store.put("op/config", CONFIGURATION);
    const hosts = await startHosts(2, store.address);
    closing.push(...hosts);
    await untilReady(hosts);
    const callers = hosts.flatMap(host =>
        Array.from({ length: CALLERS }, (_, index) =>
            new OrderCaller({
                host,
                name: `${host.name}-order-${index + 1}`,
                path: "/order/1",
                hasBegun: id => begun.has(id),
                record,
            }))
    );
    closing.push(...callers);
    await delay(2_500);
    const crowd = HAS_TROUBLE
        ? hosts.flatMap(host =>
            Array.from({ length: CONNECTIONS }, (_, index) => sendAhead(host, `${host.name}-ahead-${index + 1}`))
        )
        : [];
    closing.push(...crowd);
    record.add(`${crowd.length} connections send requests ahead`);
    for (let second = 0; second < SECONDS && hosts.some(({ hasEnded }) => !hasEnded); second += 1) {
        await delay(1_000);
    }
    await delay(1_000);
    crowd.forEach(({ count }, index) => record.add(`connection ${index + 1} has written ${count} requests`));
    const broken = [];
    for (const host of hosts) {
        const own = callers.filter((_, index) => hosts[Math.floor(index / CALLERS)] === host);
        const lost = own.flatMap(caller => caller.lost);
        const answered = own.reduce((total, caller) => total + caller.answered, 0);
        const ending = host.hasEnded ? JSON.stringify(await host.ended) : "it runs";
        const lastWords = /^FATAL ERROR.*$/m.exec(host.output)?.[0] ?? "";
        record.add(`${host.name}: ${ending} ${lastWords}; ordinary callers: ${answered} answered, ${lost.length} lost`);
        if (lost.length > ALLOWED) {
            broken.push(
                `LOST: ${host.name} closed ${lost.length} kept connections without an answer: ${lost.join(" ")}`,
            );
        }
        if (host.hasEnded) {
            broken.push(`Fault: the process of ${host.name} ended by itself: ${ending}`);
        }
    }
    return broken;
});
