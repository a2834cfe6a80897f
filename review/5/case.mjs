/**
 * A failing engine answers orders that it ran with 503, and does not say that it did not run them; the host passes the
 * status on, which tells the client that the order has not run.
 *
 * @module
 */
import { Buffer } from "node:buffer";
import { dirname } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { call, createAgent, HAS_TROUBLE, nextId, now, record, renderAnswer, runCase } from "../support/harness.mjs";

const CLIENTS = 12;
const TRAFFIC_MILLISECONDS = 15_000;
/** `srv_grey` of the site: share 0.14 of the engines (one at least) fail 0.45 of their requests, for 6.5 s. */
const FAILED_SHARE = 0.45;
const TROUBLE_BEGINS_MILLISECONDS = 4_000;
const TROUBLE_LASTS_MILLISECONDS = 6_500;

await runCase(dirname(fileURLToPath(import.meta.url)), async deployment => {
    deployment.configure([{
        name: "cut-order",
        pathPrefix: "/cut/",
        kind: "non_idempotent",
        timeoutMs: 1_500,
        targetLatencyMs: 121,
        service: "mill-ops",
    }], [{ name: "mill-ops", maxConnections: 110 }]);
    let from = Number.POSITIVE_INFINITY;
    let answers = 0;
    const isTroubled = () => HAS_TROUBLE && now() >= from && now() < from + TROUBLE_LASTS_MILLISECONDS;
    for (const [index, zone] of ["casa-a", "casa-b", "casa-c"].entries()) {
        await deployment.addEngine({
            id: `i-mill-${index + 1}`,
            service: "mill-ops",
            zone,
            slots: 6,
            behave: async (request, { socket }) => {
                await delay(21);
                answers += 1;
                const fails = index === 0 && isTroubled()
                    && Math.floor(answers * FAILED_SHARE) > Math.floor((answers - 1) * FAILED_SHARE);
                socket.write(
                    fails
                        ? renderAnswer(request.id, { status: 503, body: "failed after the order was written" })
                        : renderAnswer(request.id, { body: Buffer.alloc(800, 0x61).toString() }),
                );
            },
        });
    }
    deployment.addHosts(3);
    await deployment.ready();
    await delay(2_500);
    from = now() + TROUBLE_BEGINS_MILLISECONDS;
    const end = now() + TRAFFIC_MILLISECONDS;
    const outcomes = [];
    const orders = [];
    await Promise.all(Array.from({ length: CLIENTS }, async (_, index) => {
        const host = deployment.hosts[index % deployment.hosts.length];
        const agent = createAgent();
        while (now() < end) {
            const order = [];
            let outcome;
            do {
                outcome = await call(host, {
                    agent: order.length === 0 ? agent : undefined,
                    id: nextId(),
                    path: "/cut/1",
                    body: "cut",
                    deadlineMilliseconds: 1_500,
                });
                outcomes.push(outcome);
                order.push(outcome.id);
            }
            while (order.length < 2 && outcome.status === 503);
            orders.push(order);
            await delay(60);
        }
        agent.destroy();
    }));
    const ran = new Set(deployment.engines.flatMap(({ runs }) => runs.map(({ id }) => id)));
    const refused = outcomes.filter(({ id, status }) => [408, 421, 429, 503].includes(status) && ran.has(id));
    for (const order of orders.filter(ids => ids.filter(id => ran.has(id)).length > 1)) {
        record(`one order ran as ${order.join(" and as ")}, since its client was told that the first had not run`);
    }
    record(`${outcomes.length} requests, ${refused.length} refused that had run`);
    return refused.map(({ id, status }) => `REFUSED: ${id} was answered ${status} and ran`);
});
