/**
 * An engine hangs for good: each request that another engine answers at once is saved, before its caller leaves.
 *
 * @module
 */
import assert from "node:assert/strict";
import { describe, test } from "node:test";
import { type Behaviour } from "../standins/platform/upstream.js";
import { type TimedAnswer } from "./support/heldAnswer.js";
import {
    assertServedReads,
    assertWholeStreams,
    CALLER_GAP_LIMIT_MILLISECONDS,
    isWholeStream,
    PausedSite,
} from "./support/pausedSite.js";

const REQUESTS = 24;
const EVENTS = 12;

/** Time of the engine for a step that it does not reach before it hangs. */
const LONG_MILLISECONDS = 2_000;

/** Sites that run at once. */
const CONCURRENCY = 3;

const STREAM = { type: "stream", events: EVENTS, gapMilliseconds: 150 } as const satisfies Behaviour;

/** A hang of an engine, beside two other engines with free slots. */
interface Hang {
    readonly behaviour: Behaviour;
    readonly others: Behaviour;
    readonly maxAttempts?: number;
    readonly begin: (site: PausedSite) => Promise<readonly Promise<TimedAnswer>[]>;
    /** What happens at the moment at which the engine hangs. */
    readonly beside?: (site: PausedSite) => void;
    /** Other engines that hang too. */
    readonly otherHangs?: number;
}

/** The answers, and how many requests a sound engine received right after the engine that hangs. */
interface HangOutcome {
    readonly answers: readonly TimedAnswer[];
    readonly moved: number;
}

async function runBesideHang(hang: Hang): Promise<HangOutcome> {
    const site = await PausedSite.start({ maxAttempts: 2, ...hang });
    try {
        const answers = await hang.begin(site);
        const others = await site.addOthers();
        const { otherHangs = 0 } = hang;
        others.slice(0, otherHangs).forEach(other => other.pause());
        site.upstream.pause();
        hang.beside?.(site);
        const ended = await Promise.all(answers);
        const sound = new Set<unknown>(others.slice(otherHangs).map(({ id }) => id));
        return { answers: ended, moved: countSecondAttempts(site, sound) };
    }
    finally {
        await site.close();
    }
}

/** Returns how many second attempts of requests were sent to some upstreams. */
function countSecondAttempts({ host }: PausedSite, upstreams: ReadonlySet<unknown>): number {
    return host.lines.filter(({ fields, message }) =>
        message === "request sent" && fields["attempt"] === 2 && upstreams.has(fields["upstream"])
    ).length;
}

const RUNNING: Hang = { behaviour: STREAM, others: STREAM, begin: site => site.beginStreams(REQUESTS) };

const READS: Hang = {
    behaviour: { type: "answer", afterMilliseconds: LONG_MILLISECONDS },
    others: { type: "answer" },
    begin: site => site.beginReads(REQUESTS),
};

describe("an engine hangs for good", { concurrency: CONCURRENCY }, () => {
    test("running streams of an engine that hangs are saved by engines that answer at once", async () => {
        assertWholeStreams((await runBesideHang(RUNNING)).answers, EVENTS);
    });

    test("streams without an event at an engine that hangs are saved by engines that answer at once", async () => {
        const behaviour: Behaviour = { ...STREAM, firstTokenMilliseconds: LONG_MILLISECONDS };
        const hang: Hang = { ...RUNNING, behaviour, begin: site => site.beginStreamsWithoutEvent(REQUESTS) };
        assertWholeStreams((await runBesideHang(hang)).answers, EVENTS);
    });

    test("running streams of an engine that hangs as the configuration changes are saved", async () => {
        const hang: Hang = { ...RUNNING, beside: site => site.addRoute() };
        assertWholeStreams((await runBesideHang(hang)).answers, EVENTS);
    });

    test("reads without a head at an engine that hangs are saved by engines that answer at once", async () => {
        assertServedReads((await runBesideHang(READS)).answers);
    });

    test("reads with half a body at an engine that hangs are saved by engines that answer at once", async () => {
        const behaviour: Behaviour = { type: "answer", halfAfterMilliseconds: LONG_MILLISECONDS };
        assertServedReads((await runBesideHang({ ...READS, behaviour })).answers);
    });

    test("streams of an engine that hangs and are sent to a sound one next are saved beside another that hangs", async t => {
        const { answers, moved } = await runBesideHang({ ...RUNNING, otherHangs: 1, maxAttempts: 3 });
        const whole = answers.filter(each => isWholeStream(each, EVENTS));
        const inTime = whole.filter(each => each.longestGapMilliseconds < CALLER_GAP_LIMIT_MILLISECONDS);
        t.diagnostic(
            `${whole.length} of ${answers.length} saved, ${inTime.length} in time, ${moved} sent to a sound one`,
        );
        assert.ok(moved > 0);
        assert.ok(inTime.length >= moved, `${inTime.length} of ${moved} saved in time`);
    });

    test("reads at an engine that hangs are saved beside another that hangs", async () => {
        assertServedReads((await runBesideHang({ ...READS, otherHangs: 1, maxAttempts: 3 })).answers);
    });
});
