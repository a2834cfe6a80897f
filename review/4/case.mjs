/**
 * Two of three machines lose power while callers send prompts as large as the configuration allows; the third runs
 * over its memory and is killed with the requests of all.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { dirname } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { call, createAgent, every, HAS_TROUBLE, nextId, now, record, runCase, until } from "../support/harness.mjs";

const MEMORY_MEGABYTES = 350;
const BODY_BYTES = 4_194_304;
const CLIENTS = 72;
const EVENTS = 56;
const GAP_MILLISECONDS = 80;
const THINK_MILLISECONDS = 2_000;
/** Clients of a machine that was lost come back over this time, so that their bodies stay within the link. */
const RETURN_MILLISECONDS = 4_000;
const TROUBLE_AT_MILLISECONDS = 8_000;
const DARK_MILLISECONDS = 5_000;
const END_MILLISECONDS = 25_000;

async function streamAnswer(request, { socket, ...connection }) {
    socket.write([
        "HTTP/1.1 200 OK",
        `Flamingospread-Request-Id: ${request.id}`,
        `Flamingospread-Response-Signature: sig.${request.id}`,
        "Content-Type: text/event-stream",
        "Transfer-Encoding: chunked",
        "",
        "",
    ].join("\r\n"));
    for (let event = 1; event <= EVENTS && !socket.destroyed; event += 1) {
        const text = `id: ${event}\ndata: five tokens of text\n\n`;
        socket.write(`${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`);
        await delay(GAP_MILLISECONDS);
    }
    socket.write("0\r\n\r\n");
    return connection;
}

await runCase(dirname(fileURLToPath(import.meta.url)), async deployment => {
    deployment.configure(
        [{
            name: "quote-draft",
            pathPrefix: "/quote/",
            kind: "stream",
            timeoutMs: 15_000,
            targetLatencyMs: 300,
            targetGapMs: 150,
            service: "bag-llm",
            resumable: true,
        }],
        [{ name: "bag-llm" }],
        { maxBodyBytes: BODY_BYTES },
    );
    for (let index = 0; index < 6; index += 1) {
        await deployment.addEngine({
            id: `i-bag-${index + 1}`,
            service: "bag-llm",
            zone: ["casa-a", "casa-b", "casa-c"][index % 3],
            slots: 64,
            behave: streamAnswer,
        });
    }
    deployment.addHosts(3);
    await deployment.ready();
    await delay(2_500);
    const killed = [];
    const peaks = new Map();
    const stopWatch = every(50, () => {
        for (const host of deployment.hosts.filter(({ isRunning }) => isRunning)) {
            const megabytes = host.residentMegabytes();
            peaks.set(host.name, Math.max(megabytes, peaks.get(host.name) ?? 0));
            if (megabytes > MEMORY_MEGABYTES) {
                record(`platform: host ${host.name} has ${Math.round(megabytes)} MB of ${MEMORY_MEGABYTES}, killed`);
                killed.push({ host, at: now(), megabytes });
                host.signal("SIGKILL");
                void delay(500).then(() => host.restarts && host.start());
            }
        }
    });
    const from = now();
    const body = Buffer.alloc(BODY_BYTES, 0x70);
    const outcomes = [];
    const clients = Array.from({ length: CLIENTS }, async (_, index) => {
        let host = deployment.hosts[index % deployment.hosts.length];
        let agent = createAgent();
        await delay(index * 60);
        while (now() < from + END_MILLISECONDS) {
            const outcome = await call(host, {
                agent,
                id: nextId(),
                path: "/quote/1",
                body,
                deadlineMilliseconds: 15_000,
            });
            outcomes.push(outcome);
            if (!outcome.isComplete || outcome.status !== 200) {
                agent.destroy();
                agent = createAgent();
                const others = deployment.hosts.filter(each => each !== host && each.isRunning);
                host = others[index % Math.max(1, others.length)] ?? host;
                await delay(500 + index / CLIENTS * RETURN_MILLISECONDS);
            }
            else {
                await delay(THINK_MILLISECONDS);
            }
        }
        agent.destroy();
    });
    const trouble = (async () => {
        await delay(TROUBLE_AT_MILLISECONDS);
        if (!HAS_TROUBLE) {
            return;
        }
        const [first, second] = deployment.hosts;
        first.signal("SIGKILL");
        second.signal("SIGKILL");
        await delay(DARK_MILLISECONDS);
        first.start();
        second.start();
    })();
    await Promise.all([...clients, trouble]);
    stopWatch();
    await until(() => true, 1_000, "end");
    record(`peaks of memory in MB: ${JSON.stringify([...peaks].map(([name, peak]) => [name, Math.round(peak)]))}`);
    const served = outcomes.filter(({ isComplete, status }) => status === 200 && isComplete).length;
    record(`${outcomes.length} requests, ${served} served`);
    const ran = new Set(deployment.engines.flatMap(({ runs }) => runs.map(({ id }) => id)));
    const problems = [];
    for (const { at, host, megabytes } of killed) {
        const lost = outcomes.filter(outcome =>
            outcome.host === host.name && outcome.at < at && outcome.endedAt >= at - 100 && outcome.endedAt < at + 2_000
            && !outcome.isComplete && outcome.isKept && ran.has(outcome.id)
        );
        record(`${lost.length} requests from kept connections that engines ran ended with host ${host.name}`);
        if (lost.length > 3) {
            problems.push(
                `LOST: host ${host.name}, which nothing had disturbed, ended over its memory (${
                    Math.round(megabytes)
                } MB), and ${lost.length} requests from kept connections that it had passed on ended without an answer`,
            );
        }
    }
    return problems;
});
