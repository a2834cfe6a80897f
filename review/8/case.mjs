/**
 * One engine hands out wrong bytes in a few of its answers to orders: a long text of JSON. Each host that gets one ends,
 * the next holder of the engine too, and with them the orders of ordinary callers that they had passed on.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { setTimeout as delay } from "node:timers/promises";
import {
    announce,
    answerFields,
    callOnce,
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

/** One in so many answers of the engine is spoiled at most. */
const ANSWERS_PER_SPOILED_ONE = 25;

/** Answers that are sound before the first spoiled one. */
const SOUND_ANSWERS = 100;

const SPOILED_OBJECTS = 5_000_000;

const ADAPTERS = 26;
const ADAPTER_SLOTS = 8;
const STREAM_INTERVAL_MILLISECONDS = 40;
const SECONDS = 45;

/** Connections that the rule allows to be closed without an answer. */
const ALLOWED = 3;

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
                adapterSlots: ADAPTER_SLOTS,
                loadsPerS: 1.4,
                models: [{ name: "m0", weightsMb: 65_500, loadTimeS: 5.2, adapters: ADAPTERS, adapterMb: 40 }],
            },
        },
        { name: "mill-ops", healthPath: "/healthz", maxConnections: 110 },
    ],
    limits: LIMITS,
};

/** Starts an engine with one model, whose adapters it loads and unloads as ordered. */
async function startEngine(id, isFaulty, { record, store }) {
    const adapters = new Set();
    let sequence = 5;
    let answers = 0;
    let spoiled = 0;
    const listModels = () => [{ name: "m0", version: 1, adapters: [...adapters] }];
    const spoils = () =>
        isFaulty && HAS_TROUBLE && answers > SOUND_ANSWERS && answers >= (spoiled + 1) * ANSWERS_PER_SPOILED_ONE;
    const write = (socket, request, status, fields, body = "") => {
        answers += 1;
        const isControl = request.path === "/order" || request.path === "/report";
        if (isControl && spoils()) {
            spoiled += 1;
            record.add(
                `${id} spoils its answer ${answers}, to ${request.path} of ${
                    JSON.parse(request.body.toString() || "{}").holder
                }: ${spoiled} spoiled`,
            );
            const text = `[${"{},".repeat(SPOILED_OBJECTS)}{}]`;
            socket.write(renderAnswer(status, [["Content-Type", "application/json"]], text));
            return;
        }
        socket.write(renderAnswer(status, fields, body));
    };
    const takeOrder = ({ adapter, expected, operation }) => {
        if (expected !== sequence) {
            return 409;
        }
        sequence += 1;
        if (operation === "load") {
            adapters.add(adapter);
            return 202;
        }
        adapters.delete(adapter);
        return 200;
    };
    const engine = await RawServer.start({
        id,
        service: "bag-llm",
        onRequest: async (request, { socket }) => {
            const json = [["Content-Type", "application/json"]];
            if (request.path === "/report") {
                const state = { models: listModels(), busy: false, sequence, queued: 0, running: 0 };
                const text = JSON.stringify({
                    stage: "prefill_decode",
                    ...state,
                    kvUsed: 0,
                    kvTotal: 143_878,
                    handles: 0,
                });
                write(socket, request, 200, json, text);
                return;
            }
            if (request.path === "/order") {
                write(socket, request, takeOrder(JSON.parse(request.body.toString())), json);
                return;
            }
            if (request.path === "/healthz") {
                write(socket, request, 200, [["Flamingospread-Instance-Id", id]]);
                return;
            }
            const [, adapter] = request.headers["flamingospread-model"].split("/");
            if (!adapters.has(adapter)) {
                const fields = [["Flamingospread-Request-Id", request.id], ["Flamingospread-Not-Executed", "1"]];
                write(socket, request, 421, fields);
                return;
            }
            await delay(20);
            const fields = [...answerFields(request, `${id}.1`), ["Content-Type", "text/event-stream"]];
            write(socket, request, 200, fields, "id: 1\ndata: word\n\n");
        },
    });
    const put = () => store.put(`servers/${id}`, announce(engine, { models: listModels(), sequence }));
    put();
    return {
        put,
        get counts() {
            return `${id}: ${answers} answers, ${spoiled} spoiled`;
        },
        close: () => engine.close(),
    };
}

await runScript(import.meta.url, async ({ closing, record }) => {
    const store = await startStore();
    closing.push(store);
    const engines = [];
    for (const [index, id] of ["i-1", "i-2"].entries()) {
        engines.push(await startEngine(id, index === 0, { record, store }));
    }
    const begun = new Set();
    const orders = await RawServer.start({
        id: "i-9",
        service: "mill-ops",
        onRequest: async (request, { socket }) => {
            if (request.path === "/healthz") {
                socket.write(renderAnswer(200, [["Flamingospread-Instance-Id", "i-9"]]));
                return;
            }
            begun.add(request.id);
            await delay(WORK_MILLISECONDS);
            socket.write(renderAnswer(200, answerFields(request, "i-9.1"), "placed"));
        },
    });
    closing.push(...engines, orders);
    store.put("servers/i-9", announce(orders));
    store.put("op/config", CONFIGURATION);
    const hosts = await startHosts(3, store.address);
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
    const endsAt = Date.now() + SECONDS * 1_000;
    let announcedAt = Date.now();
    let served = 0;
    let streams = 0;
    while (Date.now() < endsAt && hosts.some(({ hasEnded }) => !hasEnded)) {
        streams += 1;
        const host = hosts[streams % hosts.length];
        const fields = [
            ["Flamingospread-Model", `m0/a${1 + streams % ADAPTERS}`],
            ["Flamingospread-Token-Count", "120,20"],
            ["Flamingospread-Deadline-Ms", "4000"],
        ];
        const request = renderRequest({
            path: "/draft/1",
            id: `draft-${streams}`,
            fields,
            body: Buffer.from(`${streams}`),
        });
        void callOnce({ host: host.ip, port: host.ports.front }, request, 5_000).then(({ status }) => {
            served += status === 200 ? 1 : 0;
        });
        if (Date.now() - announcedAt > 1_200) {
            announcedAt = Date.now();
            engines.forEach(engine => engine.put());
        }
        await delay(STREAM_INTERVAL_MILLISECONDS);
    }
    await delay(1_000);
    record.add(`${streams} streams, ${served} served; ${engines.map(({ counts }) => counts).join("; ")}`);
    const broken = [];
    for (const [index, host] of hosts.entries()) {
        const own = callers.slice(index * CALLERS, (index + 1) * CALLERS);
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
