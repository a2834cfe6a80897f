import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../decision/index.js";
import { deploymentSchema } from "../generated/deployment.js";
import { type HostIdentity } from "../generated/peers.js";
import { createOrdersDecision, hashOrderBody, issueTicket, type OrdersOptions, parseOrderKey } from "./index.js";

const PROPERTY_SEED = 20261203;
const DEPLOYMENT = deploymentSchema.parse({
    deployment: "mill",
    zones: [{ name: "a", region: "ma-west" }],
    weightStore: { loadsPerSecond: 1, concurrentLoads: 1 },
    pools: [{
        name: "p",
        checksFencing: true,
        memoryMegabytes: 1,
        slots: 1,
        engines: [{ name: "e", url: "http://127.0.0.1:1", zone: "a" }],
    }],
    models: [{ name: "m", version: "1", megabytes: 1, pools: ["p"] }],
    services: [{
        name: "line",
        urls: ["http://127.0.0.1:2"],
        calls: [{ name: "cut", idempotent: false }, { name: "stock", idempotent: true }],
    }],
});

function identityOf(host: string, zone: string): HostIdentity {
    return { host, incarnation: `${host}-1`, zone, region: "ma-west", callersUrl: "", peersUrl: "" };
}

const FIRST = identityOf("first", "a");
const SAME_ZONE = identityOf("same", "a");
const OTHER_ZONE = identityOf("other", "b");

function create(options: Partial<OrdersOptions> = {}) {
    const decision = createOrdersDecision({
        identity: FIRST,
        random: createSeededRandom(1),
        wallClockOffsetMilliseconds: 0,
        ...options,
    });
    decision.handle({ type: "deployment", deployment: DEPLOYMENT, revision: 1 }, 0);
    decision.handle({ type: "peers", identities: [FIRST, SAME_ZONE, OTHER_ZONE] }, 0);
    return decision;
}

function orderOf(key: string, call = "cut", body = "{}") {
    return {
        key,
        service: "line",
        call,
        body,
        contentType: "",
        bodyHash: hashOrderBody({ service: "line", call, body }),
    };
}

test("a key keeps its ticket through writing and parsing, and a malformed key is refused as not run", () => {
    const text = fastCheck.string({ minLength: 1, maxLength: 20 });
    const plain = { noNullPrototype: true };
    const name = fastCheck.record({ host: text, incarnation: text }, plain);
    const ticket = fastCheck.record({ owner: name, witness: name, generation: fastCheck.nat() }, plain);
    fastCheck.assert(
        fastCheck.property(ticket, written => {
            const parsed = parseOrderKey(`${issueTicket(written)}/unique-1`);
            assert.deepEqual(parsed.unwrap(), { ticket: written, unique: "unique-1" });
        }),
        { seed: PROPERTY_SEED },
    );
    const decision = create();
    for (const key of ["a/b", "t1.x/b", "a b", "x".repeat(513), `${decision.ticketFor(FIRST)}/`, "a/b/c", "\u00e9"]) {
        const effects = decision.handle({
            type: "order-received",
            identifier: "1",
            from: "caller",
            order: orderOf(key),
        }, 0);
        assert.equal(effects.length, 1);
        const [effect] = effects;
        assert.ok(effect?.type === "reply" && effect.outcome.type === "refused");
        assert.deepEqual([effect.outcome.reason, effect.outcome.ran], ["malformed-order-key", "not-run"]);
    }
});

test("a ticket names a witness in another zone, and none where no other host lives", () => {
    const decision = create();
    const ticket = parseOrderKey(`${decision.ticketFor(FIRST)}/x`).unwrap().ticket;
    assert.deepEqual(ticket?.witness, { host: "other", incarnation: "other-1" });
    decision.handle({ type: "peers", identities: [] }, 0);
    assert.equal(parseOrderKey(`${decision.ticketFor(FIRST)}/x`).unwrap().ticket?.witness, undefined);
});

test("an order is dispatched only after its witness has recorded it, and a repeat gets the same result", () => {
    const decision = create();
    const order = orderOf(`${decision.ticketFor(FIRST)}/x`);
    const asked = decision.handle({ type: "order-received", identifier: "1", from: "caller", order }, 0);
    assert.deepEqual(asked.map(({ type }) => type), ["ask-witness"]);
    const answer = { type: "witness-answered", key: order.key, request: "record-dispatch" } as const;
    const recorded = decision.handle({ ...answer, answer: { type: "recorded" } }, 1);
    assert.deepEqual(recorded.map(({ type }) => type), ["dispatch"]);
    assert.deepEqual(decision.handle({ ...answer, answer: { type: "recorded" } }, 1), []);
    assert.deepEqual(decision.handle({ type: "order-received", identifier: "2", from: "peer", order }, 2), []);
    const result = { status: 200, contentType: "", body: "cut" };
    const replies = decision.handle({ type: "dispatch-answered", key: order.key, result }, 3);
    assert.deepEqual(replies.flatMap(effect => effect.type === "reply" ? [effect.identifier] : []), ["1", "2"]);
    const other = orderOf(order.key, "cut", "{\"other\":1}");
    const [reused] = decision.handle({ type: "order-received", identifier: "3", from: "caller", order: other }, 4);
    assert.ok(reused?.type === "reply" && reused.outcome.type === "refused");
    assert.deepEqual([reused.outcome.reason, reused.outcome.ran], ["order-key-reused", "may-have-run"]);
});
