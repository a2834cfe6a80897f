/**
 * Upstreams that say in their answers how many requests they may turn away in a second before they fall over.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type Behaviour } from "../standins/platform/upstream.js";
import { callHost, EntrySite, waitUntilReady } from "./support/entrySite.js";

const HOST_COUNT = 3;
const UPSTREAM_COUNT = 2;
const SLOTS = 6;
const RUN_MILLISECONDS = 300;

/** Requests that an upstream may turn away in a second. */
const BRITTLE_LIMIT = 5;
const SECOND_MILLISECONDS = 1_000;

/** Callers send half as many requests again as the upstreams can run. */
const REQUESTS_PER_SECOND = 1.5 * UPSTREAM_COUNT * SLOTS * SECOND_MILLISECONDS / RUN_MILLISECONDS;

/** Hosts have heard the limit by then. */
const CONTACT_MILLISECONDS = 3_000;
const MEASURED_MILLISECONDS = 3_000;

/** An upstream that turns requests away while all its slots are in use, and counts them. */
class BrittleUpstream {
    readonly turnedAwayAt: number[] = [];
    #running = 0;

    behave(): Behaviour {
        const headers = { "Server-Brittle": String(BRITTLE_LIMIT) };
        if (this.#running >= SLOTS) {
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

test("all hosts together get no more requests turned away in a second than a brittle upstream bears", async context => {
    const site = await EntrySite.start();
    context.after(() => site.close());
    site.configure([{ pathPrefix: "/reads/", targetLatencyMs: 500, timeoutMs: 2_000 }]);
    const upstreams = Array.from({ length: UPSTREAM_COUNT }, () => new BrittleUpstream());
    for (const [index, upstream] of upstreams.entries()) {
        await site.addUpstream({ id: `upstream-${index}`, slots: SLOTS, behave: () => upstream.behave() });
    }
    for (let index = 0; index < HOST_COUNT; index += 1) {
        await site.addHost(`entry-${index}`);
    }
    await Promise.all(site.hosts.map(host => waitUntilReady(host)));
    const calls: Promise<unknown>[] = [];
    const startedAt = performance.now();
    while (performance.now() - startedAt < CONTACT_MILLISECONDS + MEASURED_MILLISECONDS) {
        const host = site.hosts[calls.length % HOST_COUNT];
        assert.ok(host !== undefined);
        calls.push(callHost(host, { path: "/reads/1" }));
        await delay(SECOND_MILLISECONDS / REQUESTS_PER_SECOND);
    }
    await Promise.all(calls);
    const most = upstreams.map(upstream => upstream.mostTurnedAway(startedAt + CONTACT_MILLISECONDS));
    assert.ok(most.every(count => count <= BRITTLE_LIMIT), `turned away in a second: ${most.join(", ")}`);
});
