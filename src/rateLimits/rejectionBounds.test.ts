/**
 * Many hosts before upstreams that tolerate few rejections a second, in simulated time.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { play, type PlayedFleet } from "../../tests/support/brittleFleet.js";
import { NamedLimits, RejectionBounds } from "./index.js";

/** Runs of each fleet with 6 slots, and with more slots; the environment variable sets more for a long run by hand. */
const SEEDS = Number(process.env["BRITTLE_SEEDS"] ?? 12);
const SEEDS_WITH_MANY_SLOTS = Math.ceil(SEEDS / 12);

const HOSTS = ["entry-1", "entry-2", "entry-3"];
const UPSTREAM = { id: "i-1", startedAtMilliseconds: 1 };
const SERVICE = "plain";
const UPSTREAMS = [{ id: "i-1", slots: 8 }, { id: "i-2", slots: 8 }];

function createBounds(tolerance: number, host = "entry-1"): RejectionBounds {
    const tolerances = new NamedLimits();
    tolerances.record({
        upstream: UPSTREAM,
        requestsPerSecond: tolerance,
        sentAtMilliseconds: 0,
        receivedAtMilliseconds: 1,
        receivedBy: host,
    });
    return new RejectionBounds({ host, tolerances, sendingHosts: () => HOSTS, upstreamsOf: () => UPSTREAMS });
}

function useOf(ownRequests: number, requests: number): Parameters<RejectionBounds["accepts"]>[0] {
    return { id: "i-1", service: SERVICE, slots: 6, ownRequests, requests };
}

test("hosts that keep to their shares of a nearly full upstream use each slot once", () => {
    const shares = HOSTS.map(host => {
        const bounds = createBounds(1_000, host);
        return UPSTREAMS.map(({ id, slots }) => {
            const uses = Array.from({ length: 8 }, (_, ownRequests) => ({ ...useOf(ownRequests, 8), id, slots }));
            return uses.filter(use => bounds.accepts(use, 10)).length;
        });
    });
    const totals = UPSTREAMS.map((_, index) => shares.reduce((sum, share) => sum + (share[index] ?? 0), 0));
    assert.deepEqual(totals, [8, 8]);
    assert.deepEqual(shares.map(([first = 0, second = 0]) => first + second).sort(), [5, 5, 6]);
});

test("a host exceeds its share only while an upstream is not nearly full", () => {
    const bounds = createBounds(1_000);
    assert.deepEqual([2, 3, 6].map(requests => bounds.accepts(useOf(2, requests), 10)), [true, false, false]);
});

test("slots of a nearly full upstream that a host has not used lately are taken one a second", () => {
    const bounds = createBounds(5);
    const useFull = (ownRequests: number): ReturnType<typeof useOf> => ({ ...useOf(ownRequests, 30), slots: 30 });
    const [first, second, third] = [useFull(0), useFull(1), useFull(2)];
    assert.equal(bounds.accepts(first, 10), true, "the first of its share");
    bounds.recordSent(first, 10);
    assert.equal(bounds.accepts(second, 20), true);
    bounds.recordSent(second, 20);
    assert.equal(bounds.accepts(second, 30), true, "a slot that it used");
    assert.equal(bounds.accepts(third, 30), false);
    assert.equal(bounds.accepts(third, 1_020), true);
});

test("after a rejection a host takes only slots that its own requests free, then one more", () => {
    const bounds = createBounds(5);
    bounds.recordSent(useOf(0, 0), 0);
    bounds.recordSent(useOf(1, 1), 0);
    bounds.recordRejected(useOf(1, 1), 10);
    assert.deepEqual([0, 1].map(own => bounds.accepts(useOf(own, 1), 20)), [true, false]);
    assert.equal(bounds.accepts(useOf(1, 1), 1_010), true);
    assert.equal(bounds.accepts(useOf(3, 1), 2_900), false, "not beyond its share yet");
    assert.equal(bounds.accepts(useOf(3, 1), 3_010), true);
});

test("an upstream that a host has not heard tolerates what others of its service do", () => {
    const bounds = createBounds(5);
    assert.equal(bounds.tolerance({ id: "i-2", service: SERVICE }), 5);
});

test("where messages on slots are lost, hosts cause no more rejections than tolerated and none is left unserved", context => {
    const fleet = { hostCount: 30, slots: 6, tolerance: 5, loss: 0.2 };
    const plays = Array.from({ length: SEEDS }, (_, seed) => play({ ...fleet, seed }));
    const most = Math.max(...plays.map(({ mostRejected }) => mostRejected));
    context.diagnostic(`at most ${most} rejections in a second; ${describePlays(plays)}`);
    assert.ok(most <= fleet.tolerance, `${most} rejections in a second`);
    assert.ok(plays.every(({ leastServedShare }) => leastServedShare > 0));
});

function percentage(shares: readonly number[]): string {
    return `${(100 * shares.reduce((sum, share) => sum + share, 0) / shares.length).toFixed()} %`;
}

/** Describes what became of the requests, on average over some plays. */
function describePlays(plays: readonly PlayedFleet[]): string {
    const waits = plays.flatMap(({ waitsMilliseconds }) => waitsMilliseconds).sort((left, right) => left - right);
    const waitAt = (share: number): string => `${waits[Math.floor(waits.length * share)]?.toFixed() ?? "-"} ms`;
    const messages = plays.reduce((sum, each) => sum + each.slotMessagesPerSecond, 0) / plays.length;
    return [
        `${percentage(plays.map(({ usedShare }) => usedShare))} of the slots used`,
        `${percentage(plays.map(({ servedShare }) => servedShare))} of the requests served`,
        `${percentage(plays.map(({ leastServedShare }) => leastServedShare))} at the worst served host`,
        `waits ${waitAt(0.5)} at the median and ${waitAt(0.95)} at 95 %`,
        `${messages.toFixed()} messages on slots a second`,
    ].join(", ");
}

for (const hostCount of [3, 7, 9, 30]) {
    for (const slots of [6, 64]) {
        for (const tolerance of [2, 5, 12]) {
            test(`${hostCount} hosts get no more than ${tolerance} rejections a second from an upstream of ${slots} slots`, context => {
                const seeds = slots === 6 ? SEEDS : SEEDS_WITH_MANY_SLOTS;
                const plays = Array.from({ length: seeds }, (_, seed) => play({ seed, hostCount, slots, tolerance }));
                const most = Math.max(...plays.map(({ mostRejected }) => mostRejected));
                context.diagnostic(`at most ${most} rejections in a second; ${describePlays(plays)}`);
                assert.ok(most <= tolerance, `${most} rejections in a second`);
            });
        }
    }
}
