/**
 * Leases of an upstream's slots, message by message.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { rankByRendezvous } from "../decision/index.js";
import { SlotLeases, type SlotMessage } from "./index.js";

const UPSTREAM = "i-1";
const SLOTS = 2;
const HOSTS = ["entry-1", "entry-2", "entry-3", "entry-4"];
const [ISSUER = "", SECOND = ""] = rankByRendezvous(UPSTREAM, HOSTS);
const OTHERS = HOSTS.filter(host => host !== ISSUER);
const [FIRST_HOST = "", SECOND_HOST = "", THIRD_HOST = ""] = OTHERS;

const TICK_MILLISECONDS = 25;

/** An issuer has heard by then what hosts hold. */
const REPORTED_MILLISECONDS = 500;

/** Hosts whose messages arrive at once, unless they are cut off. */
class LeasingFleet {
    readonly cutOff = new Set<string>();
    readonly inFlight = new Map<string, number>();
    readonly issuingHosts = new Map<string, readonly string[]>(HOSTS.map(host => [host, HOSTS]));
    readonly #leases: ReadonlyMap<string, SlotLeases>;
    isLeased = true;
    answers = 0;
    now = 0;

    constructor() {
        this.#leases = new Map(HOSTS.map(host => [
            host,
            new SlotLeases({
                host,
                issuingHosts: () => this.issuingHosts.get(host) ?? [],
                isLeased: () => this.isLeased,
                slotsOf: () => SLOTS,
                inFlight: () => this.inFlight.get(host) ?? 0,
                send: (receiver, message) => this.#deliver(host, receiver, message),
                onAnswered: () => {
                    this.answers += 1;
                },
                onActive: () => undefined,
            }),
        ]));
    }

    of(host: string): SlotLeases {
        const leases = this.#leases.get(host);
        assert.ok(leases !== undefined);
        return leases;
    }

    /** Lets time pass; the hosts want a slot all the while. Returns those that were granted one. */
    pass(milliseconds: number, ...wanting: readonly string[]): string[] {
        const granted = new Set<string>();
        for (const end = this.now + milliseconds; this.now < end; this.now += TICK_MILLISECONDS) {
            wanting.filter(host => !this.isFree(host)).forEach(host => this.request(host, this.now));
            [...this.#leases].filter(([host]) => !this.cutOff.has(host)).forEach(([, each]) => each.tick(this.now));
            HOSTS.filter(host => this.isFree(host)).forEach(host => granted.add(host));
        }
        return [...granted];
    }

    request(host: string, sinceMilliseconds: number): void {
        this.of(host).request([UPSTREAM], sinceMilliseconds, this.now);
    }

    isFree(host: string): boolean {
        return this.of(host).isFree(UPSTREAM, this.now);
    }

    /** Sends a request in a slot that was granted. */
    use(host: string): void {
        assert.ok(this.isFree(host), `${host} has no slot`);
        this.of(host).recordSent(UPSTREAM, this.now);
        this.inFlight.set(host, (this.inFlight.get(host) ?? 0) + 1);
    }

    end(host: string): void {
        this.inFlight.set(host, (this.inFlight.get(host) ?? 0) - 1);
        this.of(host).recordEnded(UPSTREAM, this.now);
    }

    #deliver(sender: string, receiver: string, message: SlotMessage): void {
        if (!this.cutOff.has(sender) && !this.cutOff.has(receiver)) {
            this.of(receiver).receive(message, this.now);
        }
    }
}

/** Returns a fleet whose issuer has heard what the hosts hold. */
function createFleet(): LeasingFleet {
    const fleet = new LeasingFleet();
    fleet.request(ISSUER, 0);
    fleet.pass(REPORTED_MILLISECONDS, ISSUER);
    fleet.pass(TICK_MILLISECONDS * 4);
    return fleet;
}

test("no more requests are sent at once than the upstream has slots", () => {
    const fleet = createFleet();
    HOSTS.forEach(host => fleet.request(host, fleet.now));
    assert.equal(HOSTS.filter(host => fleet.isFree(host)).length, SLOTS);
});

test("a slot that is given back goes to the host whose request has waited longest", () => {
    const fleet = createFleet();
    for (const host of [FIRST_HOST, ISSUER]) {
        fleet.request(host, fleet.now);
        fleet.use(host);
    }
    fleet.request(SECOND_HOST, fleet.now - 10);
    fleet.request(THIRD_HOST, fleet.now - 200);
    assert.deepEqual([fleet.isFree(SECOND_HOST), fleet.isFree(THIRD_HOST)], [false, false]);
    fleet.end(FIRST_HOST);
    assert.deepEqual([fleet.isFree(SECOND_HOST), fleet.isFree(THIRD_HOST)], [false, true]);
});

test("a granted slot that no request uses does not stay with its host", () => {
    const fleet = createFleet();
    [FIRST_HOST, SECOND_HOST, THIRD_HOST].forEach(host => fleet.request(host, fleet.now));
    assert.equal(fleet.isFree(THIRD_HOST), false);
    fleet.pass(2 * TICK_MILLISECONDS);
    assert.deepEqual(fleet.pass(TICK_MILLISECONDS), [THIRD_HOST]);
});

test("the slot of a long request is not leased again while its host lives, and is once it is gone", () => {
    const fleet = createFleet();
    for (const host of [FIRST_HOST, SECOND_HOST]) {
        fleet.request(host, fleet.now);
        fleet.use(host);
    }
    assert.deepEqual(fleet.pass(3_000, THIRD_HOST), []);
    fleet.cutOff.add(FIRST_HOST);
    assert.deepEqual(fleet.pass(1_000, THIRD_HOST), [THIRD_HOST]);
});

test("an issuer that has just been chosen leases no slot that a host holds already", () => {
    const fleet = createFleet();
    for (const host of OTHERS.slice(0, SLOTS)) {
        fleet.request(host, fleet.now);
        fleet.use(host);
    }
    HOSTS.forEach(host => fleet.issuingHosts.set(host, OTHERS));
    fleet.cutOff.add(ISSUER);
    assert.deepEqual(fleet.pass(1_000, THIRD_HOST), []);
    fleet.end(FIRST_HOST);
    assert.deepEqual(fleet.pass(100, THIRD_HOST), [THIRD_HOST]);
});

test("a host that only some take for the issuer leases no slot beside the one that the others ask", () => {
    const fleet = createFleet();
    const withoutIssuer = HOSTS.filter(host => host !== ISSUER);
    const asker = withoutIssuer.find(host => host !== SECOND) ?? "";
    fleet.issuingHosts.set(asker, withoutIssuer);
    assert.deepEqual(fleet.pass(2_000, asker).filter(host => host === asker), []);
});

test("an issuer that answers nobody is replaced, although it is taken for live", () => {
    const fleet = createFleet();
    fleet.cutOff.add(ISSUER);
    assert.ok(fleet.pass(3_000, FIRST_HOST).includes(FIRST_HOST));
});

test("requests that wait for a slot are decided on once when none needs one any more, and no message follows", () => {
    const fleet = createFleet();
    for (const host of [FIRST_HOST, SECOND_HOST]) {
        fleet.request(host, fleet.now);
        fleet.use(host);
    }
    fleet.request(THIRD_HOST, fleet.now);
    const before = fleet.answers;
    fleet.isLeased = false;
    fleet.pass(2_000);
    assert.equal(fleet.answers, before + 1);
    assert.deepEqual(HOSTS.map(host => fleet.of(host).isActive), HOSTS.map(() => false));
});

test("slots of requests that the upstream rejects are held back, so that rejections do not follow each other", () => {
    const fleet = createFleet();
    for (const host of [FIRST_HOST, FIRST_HOST]) {
        fleet.request(host, fleet.now);
        fleet.use(host);
        fleet.of(host).recordRejected(UPSTREAM, 2_000, fleet.now);
        fleet.end(host);
    }
    assert.deepEqual(fleet.pass(1_800, SECOND_HOST), []);
    assert.deepEqual(fleet.pass(400, SECOND_HOST), [SECOND_HOST]);
});
