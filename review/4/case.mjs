/**
 * Another writer's entry, of a service that the configuration doesn't name, lies among the engines; when the engines
 * fall silent for a second, all hosts' processes end.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { dirname } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { call, createAgent, HAS_TROUBLE, nextId, now, record, renderAnswer, runCase } from "../support/harness.mjs";
import { OwnEnds } from "../support/ownEnds.mjs";

const CLIENTS = 24;
const WORK_MILLISECONDS = 60;
const TRAFFIC_MILLISECONDS = 16_000;
const SILENCE_AT_MILLISECONDS = 7_000;
/** A sound engine may fall silent for a second or so. */
const SILENCE_MILLISECONDS = 1_200;

await runCase(dirname(fileURLToPath(import.meta.url)), async deployment => {
    const route = { timeoutMs: 4_000, targetLatencyMs: 400, service: "mill-ops", maxAttempts: 2 };
    deployment.configure([
        { ...route, name: "cut-order", pathPrefix: "/cut/", kind: "non_idempotent" },
        { ...route, name: "stock-read", pathPrefix: "/stock/", kind: "idempotent" },
    ], [{ name: "mill-ops", maxConnections: 110 }]);
    let silentUntil = 0;
    for (const [index, zone] of ["casa-a", "casa-b", "casa-c"].entries()) {
        await deployment.addEngine({
            id: `i-mill-${index + 1}`,
            service: "mill-ops",
            zone,
            slots: 12,
            behave: async (request, { socket }) => {
                await delay(Math.max(WORK_MILLISECONDS, silentUntil - now()));
                socket.write(renderAnswer(request.id, { body: Buffer.alloc(800, 0x61).toString() }));
            },
        });
    }
    deployment.addHosts(3);
    await deployment.ready();
    await delay(2_500);
    const ends = new OwnEnds(deployment);
    const from = now();
    const outcomes = [];
    const clients = Array.from({ length: CLIENTS }, async (_, index) => {
        const host = deployment.hosts[index % deployment.hosts.length];
        const agent = createAgent();
        while (now() < from + TRAFFIC_MILLISECONDS) {
            const isOrder = index % 2 === 0;
            outcomes.push(
                await call(host, {
                    agent,
                    id: nextId(),
                    method: isOrder ? "POST" : "GET",
                    path: isOrder ? "/cut/1" : "/stock/1",
                    body: isOrder ? "cut" : undefined,
                }),
            );
            await delay(100);
        }
        agent.destroy();
    });
    const trouble = (async () => {
        await delay(SILENCE_AT_MILLISECONDS / 2);
        if (HAS_TROUBLE) {
            const entry = {
                ...deployment.engines[0].announcement(),
                service: "archive",
                address: "127.0.0.1:99999",
                sequence: 1,
            };
            record(`another writer puts servers/x-17: ${JSON.stringify(entry)}`);
            deployment.store.put("servers/x-17", entry);
        }
        await delay(SILENCE_AT_MILLISECONDS / 2);
        record("the engines fall silent");
        silentUntil = now() + SILENCE_MILLISECONDS;
    })();
    await Promise.all([...clients, trouble]);
    ends.stop();
    record(`${outcomes.length} requests, ${outcomes.filter(({ status }) => status === 200).length} served`);
    return ends.problems(deployment, outcomes);
});
