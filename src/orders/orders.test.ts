import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createSeededRandom } from "../decision/index.js";
import { deploymentSchema } from "../generated/deployment.js";
import { type HostIdentity, type WitnessAnswer, type WitnessRequest } from "../generated/peers.js";
import {
    createOrdersDecision,
    hashOrderBody,
    issueTicket,
    type OrdersDecision,
    type OrdersEffect,
    type OrdersMessage,
    type OrdersOptions,
    parseOrderKey,
} from "./index.js";

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

/** Sends an order as the caller whose request has this identifier. */
function send(decision: OrdersDecision, order: ReturnType<typeof orderOf>, identifier = "1", now = 0) {
    return decision.handle({ type: "order-received", identifier, from: "caller", order }, now);
}

function outcomesOf(effects: readonly OrdersEffect[]): string[] {
    return effects.flatMap(effect => {
        if (effect.type !== "reply") {
            return [];
        }
        const { outcome } = effect;
        return [outcome.type === "answered" ? outcome.result.body : `${outcome.reason} ${outcome.ran}`];
    });
}

function typesOf(effects: readonly OrdersEffect[]): string[] {
    return effects.map(({ type }) => type);
}

function resultFor(key: string, body = "cut"): OrdersMessage {
    return { type: "dispatch-answered", key, result: { status: 200, contentType: "", body } };
}

function recordedFor(key: string): OrdersMessage {
    return { type: "witness-answered", key, request: "record-dispatch", answer: { type: "recorded" } };
}

test("an encoded ticket parses to the same ticket, and a malformed key is refused as not-run", () => {
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

test("a ticket names a witness in another zone if possible, and none where no other host is live", () => {
    const decision = create();
    const ticket = parseOrderKey(`${decision.ticketFor(FIRST)}/x`).unwrap().ticket;
    assert.deepEqual(ticket?.witness, { host: "other", incarnation: "other-1" });
    decision.handle({ type: "peers", identities: [SAME_ZONE, OTHER_ZONE], leaving: ["other"] }, 0);
    assert.equal(parseOrderKey(`${decision.ticketFor(FIRST)}/x`).unwrap().ticket?.witness?.host, "same");
    decision.handle({ type: "peers", identities: [] }, 0);
    assert.equal(parseOrderKey(`${decision.ticketFor(FIRST)}/x`).unwrap().ticket?.witness, undefined);
});

test("an order is dispatched only after its witness has recorded the dispatch, and a retry gets the same result", () => {
    const decision = create();
    const order = orderOf(`${decision.ticketFor(FIRST)}/x`);
    assert.deepEqual(typesOf(send(decision, order)), ["ask-witness"]);
    assert.deepEqual(typesOf(decision.handle(recordedFor(order.key), 1)), ["dispatch"]);
    assert.deepEqual(decision.handle(recordedFor(order.key), 1), []);
    assert.deepEqual(send(decision, order, "2"), []);
    assert.deepEqual(outcomesOf(decision.handle(resultFor(order.key), 3)), ["cut", "cut"]);
    const other = orderOf(order.key, "cut", "{\"other\":1}");
    assert.deepEqual(outcomesOf(send(decision, other, "3")), ["order-key-reused may-have-run"]);
});

test("an order whose witness does not answer in time is refused as not-run, and a late answer does not run it", () => {
    const decision = create();
    const order = orderOf(`${decision.ticketFor(FIRST)}/x`);
    send(decision, order);
    const refusal = "witness-unreachable not-run";
    assert.deepEqual(outcomesOf(decision.handle({ type: "tick" }, 1_000)), [refusal]);
    assert.deepEqual(decision.handle(recordedFor(order.key), 1_001), []);
    assert.deepEqual(outcomesOf(send(decision, order, "2", 1_002)), [refusal]);
    const later = parseOrderKey(`${decision.ticketFor(FIRST)}/x`).unwrap().ticket;
    assert.equal(later?.witness?.host, "same");
});

test("a key of an expired generation is refused, as not-run only if no key of that generation was dispatched", () => {
    const decision = create({ generationMilliseconds: 10, keptGenerations: 2 });
    const dispatched = orderOf(`${decision.ticketFor(FIRST)}/x`);
    send(decision, dispatched);
    decision.handle(recordedFor(dispatched.key), 1);
    decision.handle(resultFor(dispatched.key), 2);
    decision.handle({ type: "tick" }, 15);
    const neverSent = orderOf(`${decision.ticketFor(FIRST)}/y`);
    decision.handle({ type: "tick" }, 55);
    assert.equal(decision.snapshot().ownedKeys, 0);
    assert.deepEqual(outcomesOf(send(decision, dispatched, "2", 56)), ["ticket-expired may-have-run"]);
    assert.deepEqual(outcomesOf(send(decision, neverSent, "3", 57)), ["ticket-expired not-run"]);
});

test("results beyond the memory bound are dropped, but their keys never run again", () => {
    const decision = create({ maximumResultCharacters: 5, maximumKeys: 2 });
    decision.handle({ type: "peers", identities: [] }, 0);
    const [first, second, third] = ["x", "y", "z"].map(unique => orderOf(`${decision.ticketFor(FIRST)}/${unique}`));
    assert.ok(first !== undefined && second !== undefined && third !== undefined);
    for (const order of [first, second]) {
        assert.deepEqual(typesOf(send(decision, order)), ["dispatch"]);
        decision.handle(resultFor(order.key), 1);
    }
    assert.deepEqual(outcomesOf(send(decision, first, "2")), ["ticket-expired may-have-run"]);
    assert.deepEqual(outcomesOf(send(decision, second, "3")), ["cut"]);
    assert.deepEqual(outcomesOf(send(decision, third, "4")), ["queue-full not-run"]);
});

test("a leaving host starts no new order, finishes the running one, and reports its outcome until the witness confirms it", () => {
    const decision = create();
    const running = orderOf(`${decision.ticketFor(FIRST)}/x`);
    send(decision, running);
    decision.handle(recordedFor(running.key), 1);
    decision.handle({ type: "leave" }, 2);
    const refused = send(decision, orderOf(`${decision.ticketFor(FIRST)}/y`), "2", 3);
    assert.deepEqual(outcomesOf(refused), ["host-leaving not-run"]);
    assert.deepEqual(typesOf(decision.handle(resultFor(running.key), 4)), ["reply", "ask-witness"]);
    assert.deepEqual(typesOf(decision.handle({ type: "tick" }, 600)), ["ask-witness"]);
    const confirmed = { type: "witness-answered", key: running.key, request: "record-outcome" } as const;
    decision.handle({ ...confirmed, answer: { type: "recorded" } }, 601);
    assert.deepEqual(decision.handle({ type: "tick" }, 2_000), []);
});

test("an abandoned request gets no reply, and an order without a key or with an unknown service or call is refused as not-run", () => {
    const decision = create();
    const order = orderOf(`${decision.ticketFor(FIRST)}/x`);
    send(decision, order);
    decision.handle({ type: "abandoned", identifier: "1" }, 1);
    decision.handle(recordedFor(order.key), 2);
    assert.deepEqual(outcomesOf(decision.handle(resultFor(order.key), 3)), []);
    assert.deepEqual(outcomesOf(send(decision, orderOf(""))), ["missing-order-key not-run"]);
    assert.deepEqual(outcomesOf(send(decision, orderOf("", "nothing"))), ["unknown-call not-run"]);
    assert.deepEqual(outcomesOf(send(decision, { ...orderOf(""), service: "none" })), ["unknown-service not-run"]);
});

test("an idempotent call needs no key and is retried up to its maximum attempts", () => {
    const decision = create();
    const sent = send(decision, orderOf("", "stock"));
    const key = sent[0]?.type === "dispatch" ? sent[0].order.key : "";
    const failed = { type: "dispatch-failed", key, notSent: false, message: "reset" } as const;
    for (const now of [1_000, 2_000]) {
        assert.deepEqual(typesOf(decision.handle(failed, now)), ["count-retry"]);
        assert.deepEqual(typesOf(decision.handle({ type: "tick" }, now + 900)), ["dispatch"]);
    }
    assert.deepEqual(outcomesOf(decision.handle(failed, 3_000)), ["upstream-failed may-have-run"]);
    assert.deepEqual(decision.handle(resultFor(key), 3_001), []);
});

test("a key that cannot be claimed is reported as not-run only if every possibly live process confirms it in time", () => {
    const unclaimed = { type: "claim-failed", key: "bare", absentSinceMilliseconds: 5_000 } as const;
    const sealed = { type: "witness-answered", key: "bare", request: "seal", answer: { type: "sealed" } } as const;
    const begin = (identities: readonly HostIdentity[] = []): OrdersDecision => {
        const decision = create();
        decision.handle({ type: "peers", identities: [SAME_ZONE, OTHER_ZONE, ...identities] }, 1);
        assert.deepEqual(typesOf(send(decision, orderOf("bare"), "1", 6_000)), ["claim"]);
        return decision;
    };
    const proved = begin();
    assert.deepEqual(typesOf(proved.handle(unclaimed, 6_001)), ["ask-witness", "ask-witness"]);
    assert.deepEqual(proved.handle({ ...sealed, witness: SAME_ZONE }, 6_002), []);
    assert.deepEqual(proved.handle({ ...sealed, witness: SAME_ZONE }, 6_003), []);
    assert.deepEqual(outcomesOf(proved.handle({ ...sealed, witness: OTHER_ZONE }, 6_004)), [
        "store-unavailable not-run",
    ]);
    const late = begin();
    late.handle(unclaimed, 6_001);
    late.handle({ ...sealed, witness: SAME_ZONE }, 6_002);
    assert.deepEqual(outcomesOf(late.handle({ ...sealed, witness: OTHER_ZONE }, 7_100)), []);
    assert.deepEqual(outcomesOf(late.handle({ type: "tick" }, 7_101)), ["store-unavailable may-have-run"]);
    const unread = begin();
    const never = { type: "claim-failed", key: "bare" } as const;
    assert.deepEqual(outcomesOf(unread.handle(never, 6_001)), ["store-unavailable may-have-run"]);
    const paused = begin([identityOf("paused", "b")]);
    paused.handle({ type: "peers", identities: [SAME_ZONE, OTHER_ZONE] }, 4_000);
    assert.equal(paused.handle(unclaimed, 6_001).length, 3);
    const lost = begin([identityOf("lost", "b")]);
    lost.handle({ type: "peers", identities: [SAME_ZONE, OTHER_ZONE] }, 5_500);
    assert.deepEqual(outcomesOf(lost.handle(unclaimed, 6_001)), ["store-unavailable may-have-run"]);
});

test("a host that holds a key for the inquiry of another host runs it only after the hold", () => {
    const decision = create();
    const order = orderOf("bare");
    send(decision, order, "1", 3_000);
    const { key, bodyHash } = order;
    const request = { type: "seal", key, bodyHash, witnessIncarnation: FIRST.incarnation } as const;
    const asked = decision.handle({ type: "witness-asked", identifier: "2", request }, 3_001);
    assert.deepEqual(asked, [{ type: "answer-witness", identifier: "2", answer: { type: "sealed" } }]);
    assert.deepEqual(decision.handle({ type: "claim-answered", key, outcome: "claimed" }, 3_002), []);
    assert.deepEqual(decision.handle({ type: "tick" }, 4_001), []);
    assert.deepEqual(typesOf(decision.handle({ type: "tick" }, 6_002)), ["dispatch"]);
});

test("a host runs no key without a ticket until its peers have had time to discover it", () => {
    const decision = create();
    send(decision, orderOf("bare"), "1", 500);
    assert.deepEqual(decision.handle({ type: "claim-answered", key: "bare", outcome: "claimed" }, 501), []);
    assert.deepEqual(decision.handle({ type: "tick" }, 1_999), []);
    assert.deepEqual(typesOf(decision.handle({ type: "tick" }, 2_000)), ["dispatch"]);
});

test("an answer to an earlier order of the same key does not answer the later order", () => {
    const decision = create();
    const first = orderOf(`${decision.ticketFor(OTHER_ZONE)}/x`);
    const key = first.key;
    assert.deepEqual(typesOf(send(decision, first)), ["forward"]);
    decision.handle({ type: "peers", identities: [SAME_ZONE] }, 1);
    const sealed = { type: "witness-answered", key, request: "seal", answer: { type: "sealed" } } as const;
    assert.deepEqual(outcomesOf(decision.handle(sealed, 2)), ["owner-unreachable not-run"]);
    decision.handle({ type: "peers", identities: [SAME_ZONE, OTHER_ZONE] }, 3);
    assert.deepEqual(typesOf(send(decision, orderOf(key, "cut", "{\"other\":1}"), "2", 4)), ["forward"]);
    const outcome = { type: "answered", result: { status: 200, contentType: "", body: "cut" } } as const;
    const late = { type: "forward-answered", key, outcome, bodyHash: first.bodyHash } as const;
    assert.deepEqual(decision.handle(late, 5), []);
});

test("a witness does not replace a result by a later may-have-run, and does not answer for another incarnation", () => {
    const decision = create();
    const witness = { host: "first", incarnation: FIRST.incarnation };
    const key = `${issueTicket({ owner: OTHER_ZONE, witness, generation: 0 })}/x`;
    const sendWitnessRequest = (request: WitnessRequest): WitnessAnswer | undefined => {
        const [effect] = decision.handle({ type: "witness-asked", identifier: "1", request }, 1);
        return effect?.type === "answer-witness" ? effect.answer : undefined;
    };
    const addressed = { key, witnessIncarnation: FIRST.incarnation };
    const result = { type: "answered", result: { status: 200, contentType: "", body: "cut" } } as const;
    const uncertain = { type: "refused", reason: "upstream-failed", ran: "may-have-run", message: "" } as const;
    assert.deepEqual(sendWitnessRequest({ ...addressed, type: "record-dispatch", bodyHash: "hash" }), {
        type: "recorded",
    });
    sendWitnessRequest({ ...addressed, type: "record-outcome", outcome: result });
    sendWitnessRequest({ ...addressed, type: "record-outcome", outcome: uncertain });
    const sealed = { ...addressed, type: "seal", bodyHash: "hash" } as const;
    assert.deepEqual(sendWitnessRequest(sealed), { type: "finished", bodyHash: "hash", outcome: result });
    assert.deepEqual(sendWitnessRequest({ ...sealed, witnessIncarnation: "first-0" }), { type: "other-incarnation" });
});

test("an order of an owner that was never known waits for the owner to be discovered before its key is closed", () => {
    const decision = create();
    const newcomer = identityOf("stranger", "b");
    const order = orderOf(`${decision.ticketFor(newcomer)}/x`);
    assert.deepEqual(send(decision, order, "1", 10), []);
    const identities = [FIRST, SAME_ZONE, OTHER_ZONE, newcomer];
    assert.deepEqual(typesOf(decision.handle({ type: "peers", identities }, 20)), ["forward"]);
    const unknown = orderOf(`${decision.ticketFor(identityOf("unknown", "b"))}/x`);
    assert.deepEqual(send(decision, unknown, "2", 30), []);
    assert.deepEqual(typesOf(decision.handle({ type: "tick" }, 2_030)), ["ask-witness"]);
});

test("a host that was paused past a deadline does not run an order whose dispatch record or claim arrives afterwards", () => {
    const decision = create();
    const order = orderOf(`${decision.ticketFor(FIRST)}/x`);
    send(decision, order);
    const late = decision.handle(recordedFor(order.key), 60_000);
    assert.deepEqual(outcomesOf(late), ["witness-unreachable not-run"]);
    assert.deepEqual(typesOf(late), ["reply", "ask-witness"]);
    send(decision, orderOf("bare"), "2", 61_000);
    const claimed = decision.handle({ type: "claim-answered", key: "bare", outcome: "claimed" }, 120_000);
    assert.deepEqual(outcomesOf(claimed), ["store-unavailable may-have-run"]);
});

test("a dispatched order of a lost owner ends as may-have-run soon after the connection to the owner ends, not before", () => {
    const decision = create();
    const order = orderOf(`${decision.ticketFor(OTHER_ZONE)}/x`);
    const key = order.key;
    send(decision, order);
    assert.deepEqual(typesOf(decision.handle({ type: "peers", identities: [SAME_ZONE] }, 1)), ["ask-witness"]);
    decision.handle({ type: "witness-answered", key, request: "seal", answer: { type: "dispatched" } }, 2);
    assert.deepEqual(outcomesOf(decision.handle({ type: "tick" }, 5_000)), []);
    decision.handle({ type: "forward-failed", key, notSent: false, bodyHash: order.bodyHash }, 5_001);
    assert.deepEqual(outcomesOf(decision.handle({ type: "tick" }, 6_000)), []);
    assert.deepEqual(outcomesOf(decision.handle({ type: "tick" }, 6_001)), ["owner-unreachable may-have-run"]);
});

test("an order whose call is never reported ends as may-have-run, and a later result replaces that outcome", () => {
    const decision = create();
    const order = orderOf(`${decision.ticketFor(FIRST)}/x`);
    send(decision, order);
    decision.handle(recordedFor(order.key), 1);
    assert.deepEqual(outcomesOf(decision.handle({ type: "tick" }, 11_000)), []);
    assert.deepEqual(outcomesOf(decision.handle({ type: "tick" }, 11_001)), ["upstream-failed may-have-run"]);
    assert.deepEqual(typesOf(decision.handle(resultFor(order.key), 12_000)), ["ask-witness"]);
    assert.deepEqual(outcomesOf(send(decision, order, "2", 12_001)), ["cut"]);
});
