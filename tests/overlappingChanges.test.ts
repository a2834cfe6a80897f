/**
 * Changes of the configuration, signals and pauses of engines, laid over connections on which several requests wait.
 *
 * @module
 */
import { describe, test } from "node:test";
import { type Change, PART_CHANGES, SERIES_CHANGES } from "./support/changeSite.js";
import { assertAnsweredBeside } from "./support/overlappingChangeRuns.js";

const SEED = Number(process.env["CHANGE_SEED"] ?? "1");

/** Sites that run at once. */
const CONCURRENCY = 4;

const PAUSE_MILLISECONDS = 1_400;

/** A change is made this long after the start of a pause. */
const CHANGE_IN_PAUSE_MILLISECONDS = 200;

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
});
