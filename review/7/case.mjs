/**
 * A faulty engine sends an event without end, in very small chunks. One such answer keeps the host that gets it busy for
 * minutes: it answers nobody any more.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { once } from "node:events";
import { createConnection } from "node:net";
import { clearTimeout, setTimeout } from "node:timers";
import { setTimeout as delay } from "node:timers/promises";
import {
    announce,
    answerFields,
    callOnce,
    HAS_TROUBLE,
    HOST_NAME,
    LIMITS,
    RawServer,
    readMessage,
    renderAnswer,
    renderRequest,
    runScript,
    startHosts,
    startStore,
    untilReady,
} from "../support-2/site.mjs";

/** Ordinary callers at each host. */
const CALLERS = 8;

/** Time that the service works on an order. */
const WORK_MILLISECONDS = 100;

/** The route's `timeoutMs`, and when the rule asks again. */
const TIMEOUT_MILLISECONDS = 2_500;
const RULE_MILLISECONDS = TIMEOUT_MILLISECONDS + 500;

/** Time that a caller waits for an answer; it then leaves, and sends its next order on a new connection. */
const PATIENCE_MILLISECONDS = 6_000;
const PAUSE_MILLISECONDS = 200;

/** One in so many answers of the faulty engine is without end at most. */
const ANSWERS_PER_ENDLESS_ONE = 50;

/** Answers that are sound before the first one without end. */
const SOUND_ANSWERS = 100;

const MAXIMUM_ENDLESS_ANSWERS = 2;

/** A piece of an endless event: chunks of two bytes, of which one ends a line; no line is empty. */
const PIECE = Buffer.from("2\r\nx\n\r\n".repeat(10_000));

const STREAM_INTERVAL_MILLISECONDS = 20;
const SECONDS = 45;

/** Requests that are late by the rule, from which on a host is reported. */
const LATE_REQUESTS = 8;

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
            timeoutMs: TIMEOUT_MILLISECONDS,
            targetLatencyMs: 500,
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

const REPORT = {
    stage: "prefill_decode",
    models: [{ name: "m0", version: 1, adapters: [] }],
    busy: false,
    sequence: 5,
    queued: 0,
    running: 0,
    kvUsed: 0,
    kvTotal: 143_878,
    handles: 0,
};

/** Sends chunks as fast as they are taken, until the caller closes; returns the bytes that were sent. */
async function sendEndlessly(socket, fields) {
    const lines = fields.map(([name, value]) => `${name}: ${value}\r\n`).join("");
    socket.write(`HTTP/1.1 200 OK\r\n${lines}Transfer-Encoding: chunked\r\n\r\n`);
    let sent = 0;
    while (!socket.destroyed) {
        sent += PIECE.length;
        if (!socket.write(PIECE)) {
            await Promise.race([once(socket, "drain"), once(socket, "close")]).catch(() => undefined);
        }
    }
    return sent;
}

/** Starts an engine with one model. */
async function startEngine(id, isFaulty, record) {
    let answers = 0;
    let endless = 0;
    const endsNot = () =>
        isFaulty && HAS_TROUBLE && endless < MAXIMUM_ENDLESS_ANSWERS && answers > SOUND_ANSWERS
        && answers >= (endless + 1) * ANSWERS_PER_ENDLESS_ONE;
    const server = await RawServer.start({
        id,
        service: "bag-llm",
        onRequest: async (request, { socket }) => {
            answers += 1;
            if (request.path === "/report") {
                socket.write(renderAnswer(200, [["Content-Type", "application/json"]], JSON.stringify(REPORT)));
                return;
            }
            if (request.path === "/healthz") {
                socket.write(renderAnswer(200, [["Flamingospread-Instance-Id", id]]));
                return;
            }
            const fields = [...answerFields(request, `${id}.1`), ["Content-Type", "text/event-stream"]];
            if (!endsNot()) {
                socket.write(renderAnswer(200, fields, "id: 1\ndata: word\n\n"));
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

/** A caller that sends orders on a kept connection, one after another, and leaves one that waits for too long. */
class PatientCaller {
    /** Times until the answers, or until the caller left. */
    waits = [];
    answered = 0;
    #host;
    #name;
    #count = 0;
    #isClosed = false;
    #socket;

    constructor(host, name) {
        this.#host = host;
        this.#name = name;
        this.#connect();
    }

    #connect() {
        let read = Buffer.alloc(0);
        let sentAt;
        let timer;
        const socket = createConnection({ host: this.#host.ip, port: this.#host.ports.front });
        this.#socket = socket;
        const send = () => {
            if (this.#isClosed) {
                return;
            }
            this.#count += 1;
            sentAt = Date.now();
            timer = setTimeout(() => socket.destroy(), PATIENCE_MILLISECONDS);
            const fields = [["Flamingospread-Deadline-Ms", String(PATIENCE_MILLISECONDS)]];
            socket.write(renderRequest({ path: "/order/1", id: `${this.#name}-${this.#count}`, fields }));
        };
        const settle = () => {
            clearTimeout(timer);
            if (sentAt !== undefined) {
                this.waits.push(Date.now() - sentAt);
                sentAt = undefined;
            }
        };
        socket.on("connect", send);
        socket.on("data", piece => {
            read = Buffer.concat([read, piece]);
            const answer = readMessage(read);
            if (answer !== undefined) {
                read = read.subarray(answer.length);
                this.answered += 1;
                settle();
                setTimeout(send, PAUSE_MILLISECONDS);
            }
        });
        socket.on("error", () => undefined);
        socket.on("end", () => socket.destroy());
        socket.on("close", () => {
            settle();
            setTimeout(() => this.#isClosed || this.#connect(), PAUSE_MILLISECONDS);
        });
    }

    async close() {
        this.#isClosed = true;
        this.#socket.destroy();
    }
}

await runScript(import.meta.url, async ({ closing, record }) => {
    const store = await startStore();
    closing.push(store);
    const engines = [];
    for (const [index, id] of ["i-1", "i-2"].entries()) {
        const engine = await startEngine(id, index === 0, record);
        closing.push(engine.server);
        engines.push(engine);
        store.put(`servers/${id}`, announce(engine.server, { models: REPORT.models }));
    }
    const orders = await RawServer.start({
        id: "i-9",
        service: "mill-ops",
        onRequest: async (request, { socket }) => {
            if (request.path === "/healthz") {
                socket.write(renderAnswer(200, [["Flamingospread-Instance-Id", "i-9"]]));
                return;
            }
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
    const callers = hosts.map(host =>
        Array.from({ length: CALLERS }, (_, index) => new PatientCaller(host, `${host.name}-order-${index + 1}`))
    );
    closing.push(...callers.flat());
    const endsAt = Date.now() + SECONDS * 1_000;
    let streams = 0;
    let served = 0;
    while (Date.now() < endsAt) {
        streams += 1;
        const host = hosts[streams % hosts.length];
        const fields = [
            ["Flamingospread-Model", "m0"],
            ["Flamingospread-Token-Count", "120,20"],
            ["Flamingospread-Deadline-Ms", "4000"],
        ];
        const request = renderRequest({ path: "/draft/1", id: `draft-${streams}`, fields });
        void callOnce({ host: host.ip, port: host.ports.front }, request, 5_000).then(({ status }) => {
            served += status === 200 ? 1 : 0;
        });
        await delay(STREAM_INTERVAL_MILLISECONDS);
    }
    record.add(`${streams} streams, ${served} served; ${engines.map(({ counts }) => counts).join("; ")}`);
    const broken = [];
    for (const [index, host] of hosts.entries()) {
        const waits = callers[index].flatMap(caller => caller.waits);
        const answered = callers[index].reduce((total, caller) => total + caller.answered, 0);
        const open = waits.filter(wait => wait >= TIMEOUT_MILLISECONDS).length;
        const late = waits.filter(wait => wait >= RULE_MILLISECONDS).length;
        const state = `${host.hasEnded ? "has ended" : "runs"}, ${await host.isReady() ? "ready" : "not ready"}`;
        record.add(
            `${host.name} ${state}; orders: ${answered} answered, ${open} unanswered at timeoutMs, ${late} of them later`,
        );
        if (late >= LATE_REQUESTS && late > open / 2) {
            broken.push(`CONFIG: ${host.name} left ${late} of ${open} orders unanswered half a second past timeoutMs`);
        }
    }
    if (!HAS_TROUBLE && served < streams / 2) {
        throw new Error("not half of the streams were served without the disruption");
    }
    return broken;
});
