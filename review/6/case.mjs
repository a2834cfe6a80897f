/**
 * A faulty engine sends a body without end, in very small chunks. One such answer ends the host that gets it, and with it
 * the orders of ordinary callers that the host had passed on to another service.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
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

/** One in so many answers of the faulty engine is without end at most. */
const ANSWERS_PER_ENDLESS_ONE = 50;

/** Answers that are sound before the first one without end. */
const SOUND_ANSWERS = 100;

const MAXIMUM_ENDLESS_ANSWERS = 3;

/** A piece of an endless body: chunks of one byte. */
const PIECE = Buffer.from("1\r\nx\r\n".repeat(10_000));

const READ_INTERVAL_MILLISECONDS = 20;
const SECONDS = 40;

/** Connections that the rule allows to be closed without an answer. */
const ALLOWED = 3;

const ROUTE = { host: HOST_NAME, priority: 2, sticky: false, resumable: false };

const CONFIGURATION = {
    version: 7,
    routes: [
        {
            ...ROUTE,
            name: "order",
            pathPrefix: "/order/",
            kind: "non_idempotent",
            timeoutMs: 10_000,
            targetLatencyMs: 2_000,
            service: "mill-ops",
            maxAttempts: 1,
        },
        {
            ...ROUTE,
            name: "stock-read",
            pathPrefix: "/stock/",
            kind: "idempotent",
            timeoutMs: 5_000,
            targetLatencyMs: 1_000,
            service: "stock",
            maxAttempts: 2,
        },
    ],
    services: [
        { name: "mill-ops", healthPath: "/healthz", maxConnections: 110 },
        { name: "stock", healthPath: "/healthz", maxConnections: 110 },
    ],
    limits: LIMITS,
};

/** Sends chunks as fast as they are taken, until the caller closes; returns the bytes that were sent. */
async function sendEndlessly(socket, fields) {
    const lines = fields.map(([name, value]) => `${name}: ${value}\r\n`).join("");
    socket.write(`HTTP/1.1 200 OK\r\n${lines}Content-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n`);
    let sent = 0;
    while (!socket.destroyed) {
        sent += PIECE.length;
        if (!socket.write(PIECE)) {
            await Promise.race([once(socket, "drain"), once(socket, "close")]).catch(() => undefined);
        }
    }
    return sent;
}

/** Starts an engine of the service that is read. */
async function startStock(id, isFaulty, record) {
    let answers = 0;
    let endless = 0;
    const endsNot = () =>
        isFaulty && HAS_TROUBLE && endless < MAXIMUM_ENDLESS_ANSWERS && answers > SOUND_ANSWERS
        && answers >= (endless + 1) * ANSWERS_PER_ENDLESS_ONE;
    const server = await RawServer.start({
        id,
        service: "stock",
        onRequest: async (request, { socket }) => {
            answers += 1;
            if (request.path === "/healthz") {
                socket.write(renderAnswer(200, [["Flamingospread-Instance-Id", id]]));
                return;
            }
            const fields = answerFields(request, `${id}.1`);
            if (!endsNot()) {
                socket.write(renderAnswer(200, fields, "in stock"));
                return;
            }
            endless += 1;
            record.add(`${id} sends its answer ${answers}, to ${request.id}, without end: ${endless} so far`);
            const sent = await sendEndlessly(socket, fields);
            record.add(`${id}: the connection of ${request.id} was closed after ${sent} bytes at most`);
        },
    });
    return {
        server,
        get counts() {
            return `${id}: ${answers} answers, ${endless} without end`;
        },
    };
}

await runScript(import.meta.url, async ({ closing, record }) => {
    const store = await startStore();
    closing.push(store);
    const engines = [];
    for (const [index, id] of ["i-1", "i-2"].entries()) {
        const engine = await startStock(id, index === 0, record);
        closing.push(engine.server);
        engines.push(engine);
        store.put(`servers/${id}`, announce(engine.server));
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
    closing.push(orders);
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
    let reads = 0;
    let served = 0;
    while (Date.now() < endsAt && hosts.some(({ hasEnded }) => !hasEnded)) {
        reads += 1;
        const host = hosts[reads % hosts.length];
        const fields = [["Flamingospread-Deadline-Ms", "4000"]];
        const request = renderRequest({ method: "GET", path: "/stock/1", id: `read-${reads}`, fields });
        void callOnce({ host: host.ip, port: host.ports.front }, request, 5_000).then(({ status }) => {
            served += status === 200 ? 1 : 0;
        });
        await delay(READ_INTERVAL_MILLISECONDS);
    }
    await delay(1_000);
    record.add(`${reads} reads, ${served} served; ${engines.map(({ counts }) => counts).join("; ")}`);
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
    if (!HAS_TROUBLE && served < reads / 2) {
        throw new Error("not half of the reads were served without the disruption");
    }
    return broken;
});
