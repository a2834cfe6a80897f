/**
 * A whole engine may pause for a second or two and go on: none of its answers may be given up for a replacement that
 * has not answered.
 *
 * @module
 */
import { describe, test } from "node:test";
import { type Behaviour } from "../standins/platform/upstream.js";
import { type TimedAnswer } from "./support/heldAnswer.js";
import { assertServedReads, assertWholeStreams, PausedSite, type PausedSiteOptions } from "./support/pausedSite.js";

const REQUESTS = 24;
const EVENTS = 12;
const PAUSE_MILLISECONDS = 1_600;

const STREAM = { type: "stream", events: EVENTS, gapMilliseconds: 150 } as const satisfies Behaviour;

/** Runs requests at an engine that pauses for 1.6 s once other engines with free slots were added. */
async function runBesidePause(
    options: PausedSiteOptions,
    begin: (site: PausedSite) => Promise<readonly Promise<TimedAnswer>[]>,
): Promise<readonly TimedAnswer[]> {
    const site = await PausedSite.start(options);
    try {
        const answers = await begin(site);
        await site.addOthers();
        site.upstream.pause(PAUSE_MILLISECONDS);
        return await Promise.all(answers);
    }
    finally {
        await site.close();
    }
}

async function assertStreamsStayWhole(others: Behaviour, maxAttempts: number): Promise<void> {
    const options = { behaviour: STREAM, others, maxAttempts };
    assertWholeStreams(await runBesidePause(options, site => site.beginStreams(REQUESTS)), EVENTS);
}

describe("an engine pauses for 1.6 s", { concurrency: 2 }, () => {
    test("streams of an engine that pauses for 1.6 s stay whole where their replacements reset after 600 ms", async () => {
        await assertStreamsStayWhole({ type: "reset", afterMilliseconds: 600 }, 2);
    });

    test("streams of an engine that pauses for 1.6 s stay whole where their replacements answer 500 after 600 ms", async () => {
        await assertStreamsStayWhole({ type: "answer", status: 500, afterMilliseconds: 600 }, 2);
    });

    test("streams of an engine that pauses for 1.6 s stay whole where their replacements never answer", async () => {
        await assertStreamsStayWhole({ type: "silent" }, 3);
    });

    test("callers of an engine that pauses for 1.6 s wait less than 2 s where replacements begin after 900 ms", async () => {
        await assertStreamsStayWhole({ ...STREAM, firstTokenMilliseconds: 900 }, 2);
    });

    test("reads at an engine that pauses for 1.6 s are served where their replacements reset after 900 ms", async () => {
        const behaviour: Behaviour = { type: "answer", afterMilliseconds: 500 };
        const options = { behaviour, others: { type: "reset", afterMilliseconds: 900 }, maxAttempts: 2 } as const;
        assertServedReads(await runBesidePause(options, site => site.beginReads(REQUESTS)));
    });
});
