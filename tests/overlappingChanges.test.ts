/**
 * Changes of the configuration, signals and pauses of engines, laid over connections on which several requests wait.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type Behaviour } from "../standins/platform/upstream.js";
import { type Change, PART_CHANGES, SERIES_CHANGES } from "./support/changeSite.js";
import { EntrySite, until, waitUntilReady } from "./support/entrySite.js";
import { OverlappingCaller, renderRequest } from "./support/overlappingCaller.js";
import { assertAnsweredBeside } from "./support/overlappingChangeRuns.js";

const SEED = Number(process.env["CHANGE_SEED"] ?? "1");

/** Sites that run at once. */
const CONCURRENCY = 4;

const PAUSE_MILLISECONDS = 1_400;

/** A change is made this long after the start of a pause. */
const CHANGE_IN_PAUSE_MILLISECONDS = 200;

/** Longer than a grace period. */
const LONG_MILLISECONDS = 30_000;
const SHORT_GRACE_MILLISECONDS = 5_000;
const WAITING_IDS = ["waiting-1", "waiting-2", "waiting-3"];
const STATUS_UNAVAILABLE = 503;

const NO_CHANGE: Change = { name: "nothing else", apply: () => undefined };
const RELOAD: Change = { name: "SIGHUP", apply: ({ host }) => host.host.reload(host.settings) };

/** Pauses all upstreams, and makes a change meanwhile. */
function besidePause(change: Change): Change {
    return {
        ...change,
        name: `a pause of all engines and ${change.name}`,
        apply: (site, random) => {
            site.site.upstreams.forEach(upstream => upstream.pause(PAUSE_MILLISECONDS));
            setTimeout(() => void change.apply(site, random), CHANGE_IN_PAUSE_MILLISECONDS);
        },
    };
}

function select(...names: readonly string[]): Change[] {
    return [...PART_CHANGES, ...SERIES_CHANGES].filter(({ name }) => names.includes(name));
}

const PAUSED_CHANGES = [NO_CHANGE, RELOAD, ...select("the idle limit lowered", "a service removed", "SIGTERM")];
const CHANGES = [...PART_CHANGES, ...SERIES_CHANGES, RELOAD, ...PAUSED_CHANGES.map(besidePause)];

describe("no request that waits on a connection is lost", { concurrency: CONCURRENCY }, () => {
    for (const [index, change] of CHANGES.entries()) {
        test(`no request that waits on a connection is lost beside ${change.name}`, async () => {
            await assertAnsweredBeside(change, SEED * CHANGES.length + index);
        });
    }

    test("no request that waits on a connection is lost at the end of a host's grace period", async () => {
        const site = await EntrySite.start();
        site.configure([{ pathPrefix: "/orders/", kind: "non_idempotent", timeoutMs: 60_000 }]);
        const behave = (): Behaviour => ({ type: "answer", afterMilliseconds: LONG_MILLISECONDS });
        const engine = await site.addUpstream({ id: "i-long", slots: 50, behave });
        const host = await site.addHost("entry-1", { bounds: { graceMilliseconds: SHORT_GRACE_MILLISECONDS } });
        await waitUntilReady(host);
        const caller = new OverlappingCaller(host);
        const ids = ["at-grace-end", ...WAITING_IDS];
        caller.write(ids.map(id => renderRequest({ id, path: "/orders/1", method: "POST" })).join(""));
        await until(() => engine.received.length === 1);
        const stopped = host.host.stop();
        const answers = await caller.waitForAnswers(ids.length, LONG_MILLISECONDS);
        await stopped;
        await site.close();
        const refused = answers.slice(1).map((
            { headers, isComplete, status },
        ) => [headers["flamingospread-request-id"], status, isComplete]);
        assert.deepEqual(refused, WAITING_IDS.map(id => [id, STATUS_UNAVAILABLE, true]));
        assert.deepEqual(engine.received.map(({ id }) => id), ["at-grace-end"]);
    });
});
