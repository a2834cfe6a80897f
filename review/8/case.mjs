/**
 * An entry of another writer among those of the servers, within the store's limit, whose models are of another type. All
 * hosts end at once, and end again whenever they start, and with them the orders of ordinary callers.
 *
 * @module
 */
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
    runScript,
    startHosts,
    startStore,
    untilReady,
} from "../support-2/site.mjs";

/** Ordinary callers at each host; each has one order under way. */
const CALLERS = 8;

/** Time that the service works on an order. */
const WORK_MILLISECONDS = 1_000;

/** Elements of the entry's list of models, each a number; `platform.valueBytes` is 1,048,576. */
const MODELS = 500_000;

/** Time before the entry is written, and after it. */
const CALM_MILLISECONDS = 4_000;
const TROUBLE_MILLISECONDS = 25_000;

/** The platform starts a process that has ended again after a short delay, here twice. */
const RESTART_MILLISECONDS = 500;
const RESTARTS = 2;

/** Connections that the rule allows to be closed without an answer. */
const ALLOWED = 3;

const CONFIGURATION = {
    version: 7,
    routes: [{
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
    }],
    services: [{ name: "mill-ops", healthPath: "/healthz", maxConnections: 110 }],
    limits: LIMITS,
};

/** Renders an entry that names no engine to use: its models are numbers, and some of its fields are missing. */
function renderForeignEntry() {
    const models = Array.from({ length: MODELS }, () => "1").join(",");
    return `{"service":"mill-ops","zone":"casa-a","version":"v1","slots":6,"state":"ready","models":[${models}]}`;
}

/** Starts a host again after each of its ends, as often as the platform is to; returns how it ended. */
async function superviseHost(host, { endings, record }) {
    for (let start = 0; start <= RESTARTS; start += 1) {
        if (start > 0) {
            await delay(RESTART_MILLISECONDS);
            host.start();
        }
        const ending = await host.ended;
        const lastWords = /^FATAL ERROR.*$/m.exec(host.output)?.[0] ?? "";
        host.output = "";
        endings.push(ending);
        record.add(`${host.name} has ended, for the ${start + 1}. time: ${JSON.stringify(ending)} ${lastWords}`);
    }
}

await runScript(import.meta.url, async ({ closing, record }) => {
    const store = await startStore();
    closing.push(store);
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
    closing.push(orders);
    store.put("servers/i-2", announce(orders));
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
    await delay(CALM_MILLISECONDS);
    const endings = hosts.map(() => []);
    hosts.forEach((host, index) => void superviseHost(host, { endings: endings[index], record }));
    if (HAS_TROUBLE) {
        const entry = renderForeignEntry();
        record.add(`another writer puts servers/foreign-1: ${entry.length} bytes, ${entry.slice(0, 120)}...`);
        store.put("servers/foreign-1", entry);
    }
    const endsAt = Date.now() + TROUBLE_MILLISECONDS;
    while (Date.now() < endsAt && endings.some(({ length }) => length <= RESTARTS)) {
        await delay(100);
    }
    await delay(500);
    const broken = [];
    for (const [index, host] of hosts.entries()) {
        const own = callers.slice(index * CALLERS, (index + 1) * CALLERS);
        const lost = own.flatMap(caller => caller.lost);
        const answered = own.reduce((total, caller) => total + caller.answered, 0);
        const times = endings[index].length;
        record.add(`${host.name} ended ${times} times; ordinary callers: ${answered} answered, ${lost.length} lost`);
        if (lost.length > ALLOWED) {
            broken.push(
                `LOST: ${host.name} closed ${lost.length} kept connections without an answer: ${lost.join(" ")}`,
            );
        }
        if (times > 0) {
            broken.push(`Fault: the process of ${host.name} ended by itself ${times} times`);
        }
    }
    return broken;
});
