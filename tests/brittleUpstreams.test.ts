/**
 * Upstreams that say in their answers how many requests they may turn away in a second before they fall over.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type Behaviour } from "../standins/platform/upstream.js";
import { callHost, EntrySite, waitUntilReady } from "./support/entrySite.js";

const UPSTREAM_COUNT = 2;
const RUN_MILLISECONDS = 300;

/** Requests that an upstream may turn away in a second. */
const BRITTLE_LIMIT = 5;
const SECOND_MILLISECONDS = 1_000;
const STATUS_OK = 200;

/** Callers send half as many requests again as the upstreams can run. */
const OFFERED_LOAD = 1.5;

/** Hosts have heard the limit by then. */
const CONTACT_MILLISECONDS = 3_000;
const MEASURED_MILLISECONDS = 3_000;

/** An upstream that turns requests away while all its slots are in use, and counts them. */
class BrittleUpstream {
    readonly turnedAwayAt: number[] = [];
    readonly #slots: number;
    #running = 0;

    constructor(slots: number) {
        this.#slots = slots;
    }

    behave(): Behaviour {
        const headers = { "Server-Brittle": String(BRITTLE_LIMIT) };
        if (this.#running >= this.#slots) {
            this.turnedAwayAt.push(performance.now());
            return { type: "not-run", status: 503, headers };
        }
        this.#running += 1;
        setTimeout(() => {
            this.#running -= 1;
        }, RUN_MILLISECONDS);
        return { type: "answer", afterMilliseconds: RUN_MILLISECONDS, headers };
    }

    /** Returns the most requests that it turned away within a second, from a time on. */
    mostTurnedAway(fromMilliseconds: number): number {
        const times = this.turnedAwayAt.filter(at => at >= fromMilliseconds);
        return Math.max(
            0,
            ...times.map(first => times.filter(at => at >= first && at < first + SECOND_MILLISECONDS).length),
        );
    }
}

/** Sends requests to all hosts in turn; returns the most that an upstream turned away, and each host's served share. */
async function play(
    context: TestContext,
    { hostCount, slots }: { readonly hostCount: number; readonly slots: number; },
): Promise<{ readonly most: readonly number[]; readonly servedShares: readonly number[]; }> {
    const site = await EntrySite.start();
    context.after(() => site.close());
    site.configure([{ pathPrefix: "/reads/", targetLatencyMs: 500, timeoutMs: 2_000 }]);
    const upstreams = Array.from({ length: UPSTREAM_COUNT }, () => new BrittleUpstream(slots));
    for (const [index, upstream] of upstreams.entries()) {
        await site.addUpstream({ id: `upstream-${index}`, slots, behave: () => upstream.behave() });
    }
    for (let index = 0; index < hostCount; index += 1) {
        await site.addHost(`entry-${index}`);
    }
    await Promise.all(site.hosts.map(host => waitUntilReady(host)));
    const requestsPerSecond = OFFERED_LOAD * UPSTREAM_COUNT * slots * SECOND_MILLISECONDS / RUN_MILLISECONDS;
    const calls: ReturnType<typeof callHost>[] = [];
    const startedAt = performance.now();
    while (performance.now() - startedAt < CONTACT_MILLISECONDS + MEASURED_MILLISECONDS) {
        const host = site.hosts[calls.length % hostCount];
        assert.ok(host !== undefined);
        calls.push(callHost(host, { path: "/reads/1" }));
        await delay(SECOND_MILLISECONDS / requestsPerSecond);
    }
    const answers = await Promise.all(calls);
    const most = upstreams.map(upstream => upstream.mostTurnedAway(startedAt + CONTACT_MILLISECONDS));
    const servedShares = site.hosts.map((_, index) => {
        const ofHost = answers.filter((_answer, call) => call % hostCount === index);
        return ofHost.filter(({ status }) => status === STATUS_OK).length / ofHost.length;
    });
    context.diagnostic(`turned away in a second: ${most.join(", ")}`);
    context.diagnostic(`served by host: ${servedShares.map(share => share.toFixed(2)).join(", ")}`);
    return { most, servedShares };
}

test("all hosts together get no more requests turned away in a second than a brittle upstream bears", async context => {
    const { most } = await play(context, { hostCount: 3, slots: 6 });
    assert.ok(most.every(count => count <= BRITTLE_LIMIT), `turned away in a second: ${most.join(", ")}`);
});

test("hosts that outnumber the slots of brittle upstreams keep to the limit, and none is left unserved", async context => {
    const { most, servedShares } = await play(context, { hostCount: 10, slots: 3 });
    assert.ok(most.every(count => count <= BRITTLE_LIMIT), `turned away in a second: ${most.join(", ")}`);
    assert.ok(servedShares.every(share => share > 0), `served by host: ${servedShares.join(", ")}`);
});
