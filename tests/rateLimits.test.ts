/**
 * Rate limits that an upstream names (`Server-Limit`) for all hosts together.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type Behaviour, type PlatformUpstreamStandIn, type ReceivedRequest } from "../standins/platform/upstream.js";
import {
    type CallerAnswer,
    callHost,
    countLines,
    EntrySite,
    ranOf,
    reasonOf,
    type SiteHost,
    until,
    waitUntilReady,
} from "./support/entrySite.js";
import { findWorstWindow, type LimitArrival, type LimitHistory, usedShare } from "./support/limitRule.js";

const LIMIT_PER_SECOND = 4;

/** Long enough for several windows of 4 s after the first 3 s. */
const LOAD_MILLISECONDS = 9_000;

const REQUESTS_PER_SECOND = 40;

/** All hosts know of a limit and have agreed on who issues its permits. */
const SETTLED_MILLISECONDS = 2_000;

/** A share of the time limit of a request for which it may wait, and some time to answer. */
const MAXIMUM_WAIT_MILLISECONDS = 1_500;

/** A request that cannot get a turn is refused within this time. */
const AT_ONCE_MILLISECONDS = 200;

/** A limited upstream, what reached it, and whom it told of its limit. */
interface LimitedUpstream {
    readonly standIn: PlatformUpstreamStandIn;
    readonly arrivals: LimitArrival[];
    readonly toldAtMilliseconds: Map<string, number>;
}

/** Identifiers of requests begin with the host that they are sent to. */
function hostOf({ id }: ReceivedRequest): string {
    return id.split("/")[0] ?? "";
}

async function addLimitedUpstream(
    site: EntrySite,
    behaveLimited: (index: number) => Behaviour = () => ({ type: "answer" }),
): Promise<LimitedUpstream> {
    const arrivals: LimitArrival[] = [];
    const toldAtMilliseconds = new Map<string, number>();
    const standIn = await site.addUpstream({
        id: "i-limited",
        slots: 100,
        behave: request => {
            const atMilliseconds = performance.now();
            arrivals.push({ host: hostOf(request), atMilliseconds });
            if (standIn.limit !== undefined && !toldAtMilliseconds.has(hostOf(request))) {
                toldAtMilliseconds.set(hostOf(request), atMilliseconds);
            }
            return standIn.limit === undefined ? { type: "answer" } : behaveLimited(arrivals.length);
        },
    });
    return { standIn, arrivals, toldAtMilliseconds };
}

/** Starts a site with hosts before plain upstreams. */
async function startSite(hostCount: number): Promise<EntrySite> {
    const site = await EntrySite.start();
    site.configure([{ pathPrefix: "/orders/", kind: "idempotent", timeoutMs: 4_000 }]);
    for (let index = 1; index <= hostCount; index += 1) {
        await site.addHost(`entry-${index}`, { zone: `zone-${index}` });
    }
    await Promise.all(site.hosts.map(host => waitUntilReady(host)));
    await delay(1_000);
    return site;
}

let sent = 0;

function send(host: SiteHost): Promise<CallerAnswer> {
    sent += 1;
    return callHost(host, { path: "/orders/1", id: `${host.name}/${sent}` });
}

/** Sends requests at a steady rate to the hosts in turn; returns their answers. */
async function offerLoad(hosts: readonly SiteHost[], milliseconds = LOAD_MILLISECONDS): Promise<CallerAnswer[]> {
    const answers: Promise<CallerAnswer>[] = [];
    const end = performance.now() + milliseconds;
    while (performance.now() < end) {
        const host = hosts[answers.length % hosts.length];
        assert.ok(host !== undefined);
        answers.push(send(host));
        await delay(1_000 / REQUESTS_PER_SECOND);
    }
    return Promise.all(answers);
}

function historyOf({ arrivals, toldAtMilliseconds }: LimitedUpstream, namedAtMilliseconds: number): LimitHistory {
    const steps = [{ atMilliseconds: namedAtMilliseconds, requestsPerSecond: LIMIT_PER_SECOND }];
    return { steps, arrivals, toldAtMilliseconds };
}

function assertWithinLimit(upstream: LimitedUpstream, namedAtMilliseconds: number): void {
    const { allowed, requests } = findWorstWindow(historyOf(upstream, namedAtMilliseconds));
    assert.ok(requests <= allowed, `${requests} requests in 4 s, allowed ${allowed}`);
}

/** Asserts that four fifths of the limit are used once it is known to all hosts. */
function assertMostUsed(upstream: LimitedUpstream, namedAtMilliseconds: number): void {
    const begin = namedAtMilliseconds + SETTLED_MILLISECONDS;
    const used = usedShare(historyOf(upstream, namedAtMilliseconds), begin, namedAtMilliseconds + LOAD_MILLISECONDS);
    assert.ok(used >= 0.8, `${used} of the limit was used`);
}

/** Asserts that requests without an answer were refused at once, have not run, and may return when a turn is likely. */
function assertRefusedTruly(answers: readonly CallerAnswer[], { standIn }: LimitedUpstream): void {
    const refused = answers.filter(({ status }) => status !== 200);
    const ran = new Set(standIn.received.map(({ id }) => id));
    for (const answer of refused) {
        assert.equal(answer.status, 503);
        assert.equal(reasonOf(answer), "upstream-limit");
        assert.equal(ranOf(answer), "not-run");
        assert.ok(!ran.has(String(answer.headers["flamingospread-request-id"])), "it ran");
        assert.ok(Number(answer.headers["retry-after"]) > 0, String(answer.headers["retry-after"]));
    }
    const late = refused.filter(({ tookMilliseconds }) => tookMilliseconds > MAXIMUM_WAIT_MILLISECONDS);
    assert.equal(late.length, 0, "refused later than a request may wait");
    const held = refused.filter(({ tookMilliseconds }) => tookMilliseconds > AT_ONCE_MILLISECONDS);
    assert.ok(held.length <= refused.length / 10, `${held.length} of ${refused.length} were not refused at once`);
}

describe("a host reports the limits that upstreams name", () => {
    let site: EntrySite;
    let host: SiteHost;

    before(async () => {
        site = await startSite(1);
        const [first] = site.hosts;
        assert.ok(first !== undefined);
        host = first;
    });

    after(async () => {
        await site.close();
    });

    function limitLines(): (readonly [unknown, unknown])[] {
        const lines = host.lines.filter(({ message }) => message === "upstream limit changed");
        return lines.map(({ fields }) => [fields["outcome"], fields["limitPerSecond"]]);
    }

    test("each limit that an answer names, changes or withdraws is logged once, and what is no number is ignored", async () => {
        const { standIn } = await addLimitedUpstream(site);
        await until(async () => (await send(host)).status === 200);
        for (const limit of ["4.1", "4.1", "8", undefined, "abc", "-3", "NaN", "", "1e309", "4, 5", "0x10"]) {
            standIn.limit = limit;
            assert.equal((await send(host)).status, 200, String(limit));
        }
        assert.deepEqual(limitLines(), [["named", 4.1], ["changed", 8], ["withdrawn", undefined]]);
        const unreadable = host.lines.filter(({ message }) => message === "limit not readable");
        assert.deepEqual(unreadable.map(({ fields }) => fields["value"]), [
            "abc",
            "-3",
            "NaN",
            "",
            "1e309",
            "4, 5",
            "0x10",
        ]);
    });
});

describe("an upstream that names a limit gets no more requests than it allows", { concurrency: true }, () => {
    async function playLoad(
        hostCount: number,
        options: {
            readonly behaveLimited?: (index: number) => Behaviour;
            readonly busyHosts?: number;
            readonly beside?: boolean;
        } = {},
    ): Promise<{ readonly upstream: LimitedUpstream; readonly answers: CallerAnswer[]; readonly namedAt: number; }> {
        const site = await startSite(hostCount);
        try {
            const upstream = await addLimitedUpstream(site, options.behaveLimited);
            if (options.beside === true) {
                await site.addUpstream({ id: "i-beside", slots: 100 });
            }
            await until(() => site.hosts.every(host => countLines(host, "upstream joined") === site.upstreams.length));
            upstream.standIn.limit = String(LIMIT_PER_SECOND);
            const namedAt = performance.now();
            const answers = await offerLoad(site.hosts.slice(0, options.busyHosts ?? hostCount));
            return { upstream, answers, namedAt };
        }
        finally {
            await site.close();
        }
    }

    test("three hosts together keep to the limit that an upstream names", async () => {
        const { upstream, answers, namedAt } = await playLoad(3);
        assertWithinLimit(upstream, namedAt);
        assertMostUsed(upstream, namedAt);
        assertRefusedTruly(answers, upstream);
    });

    test("further attempts after rejections keep to the limit", async () => {
        const { upstream, namedAt } = await playLoad(3, {
            behaveLimited: index => index % 2 === 0 ? { type: "not-run", status: 503 } : { type: "answer" },
        });
        assertWithinLimit(upstream, namedAt);
    });

    test("one host with all the traffic keeps to the limit and uses most of it", async () => {
        const { upstream, answers, namedAt } = await playLoad(3, { busyHosts: 1 });
        assertWithinLimit(upstream, namedAt);
        assertMostUsed(upstream, namedAt);
        assertRefusedTruly(answers, upstream);
    });

    test("no request is refused while another upstream has room", async () => {
        const { upstream, answers, namedAt } = await playLoad(3, { beside: true });
        assertWithinLimit(upstream, namedAt);
        assert.deepEqual(answers.filter(({ status }) => status !== 200), []);
    });
});
