/**
 * Rate limits that an upstream names (`Server-Limit`) for all hosts together.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, afterEach, before, describe, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type Behaviour, type PlatformUpstreamStandIn, type ReceivedRequest } from "../standins/platform/upstream.js";
import { type LoggedLine } from "./support/collectedLines.js";
import {
    type CallerAnswer,
    callHost,
    countLines,
    engineSettings,
    EntrySite,
    ranOf,
    reasonOf,
    requestAdapter,
    type SiteHost,
    until,
    waitUntilReady,
} from "./support/entrySite.js";
import { findWorstWindow, type LimitArrival, type LimitHistory, usedShare } from "./support/limitRule.js";
import { WithheldTime } from "./support/withheldTime.js";

const LIMIT_PER_SECOND = 4;

/** Long enough for several windows of 4 s after the first 3 s. */
const LOAD_MILLISECONDS = 9_000;

const REQUESTS_PER_SECOND = 40;

/** All sites run in this process, which must answer within a few milliseconds. */
const SITES_AT_ONCE = 4;

/** Sites of tests that measure short times and shares of a limit. */
const TIMED_SITES_AT_ONCE = 2;

/** A host takes the engines, demand lasts long enough to be planned for, and a model is loaded. */
const COPY_MILLISECONDS = 9_000;

/** All hosts know of a limit and have agreed on who issues its permits. */
const SETTLED_MILLISECONDS = 2_000;

/** A share of the time limit of a request for which it may wait, and some time to answer. */
const MAXIMUM_WAIT_MILLISECONDS = 1_500;

/** Longer than the 1 s of the configuration and the time for preparation that hosts expect. */
const LOAD_OF_COPY_MILLISECONDS = 2_450;

/** All hosts have heard from an engine's holder what it loads. */
const LOADING_KNOWN_MILLISECONDS = 1_000;

/** A request that cannot get a turn is refused within this time, not counting what the machine withholds. */
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

/** Starts a site with hosts; streams of models may wait for some time. */
async function startSite(hostCount: number, modelTargetMs = 200): Promise<EntrySite> {
    const site = await EntrySite.start();
    site.configure([
        { pathPrefix: "/orders/", kind: "idempotent", timeoutMs: 4_000 },
        { pathPrefix: "/batch/", kind: "idempotent", timeoutMs: 4_000, priority: 2 },
        { pathPrefix: "/streams/", kind: "stream", resumable: true, timeoutMs: 4_000 },
        {
            pathPrefix: "/llm/",
            kind: "stream",
            service: "llm",
            resumable: true,
            timeoutMs: 8_000,
            targetLatencyMs: modelTargetMs,
        },
    ], engineSettings(4, { quotes: 8 }));
    for (let index = 1; index <= hostCount; index += 1) {
        await site.addHost(`entry-${index}`, { zone: `zone-${index}` });
    }
    await Promise.all(site.hosts.map(host => waitUntilReady(host)));
    await delay(1_000);
    return site;
}

/** A site whose model is on an engine with a limit. */
interface ModelSite {
    readonly site: EntrySite;
    /** The engine that can load the model. */
    readonly beside: PlatformUpstreamStandIn;
    /** Sends requests of the model to all hosts for some time, or until it is enough. */
    readonly offer: (milliseconds: number, isEnough?: () => boolean) => Promise<CallerAnswer[]>;
}

/** A load on a site with a limited upstream, and what came of it. */
interface LimitedLoad {
    readonly upstream: LimitedUpstream;
    readonly answers: readonly TimedAnswer[];
    readonly namedAt: number;
    /** Log lines of all hosts. */
    readonly lines: readonly LoggedLine[];
}

/** Returns whether log fields tell the limit, its age, who was told it and this host's share. */
function explainsLimit(fields: LoggedLine["fields"]): boolean {
    return fields["limitedUpstream"] === "i-limited" && fields["limitPerSecond"] === LIMIT_PER_SECOND
        && Number(fields["limitAgeMilliseconds"]) >= 0 && String(fields["limitNamedTo"]).startsWith("entry-")
        && String(fields["permitIssuer"]).startsWith("entry-") && Number(fields["hostPermitsPerSecond"]) >= 0;
}

const withheld = new WithheldTime();

after(() => withheld.close());

let sent = 0;

/** An answer, and the time that it took while this process, which runs caller, hosts and engine, could run. */
interface TimedAnswer extends CallerAnswer {
    readonly ranMilliseconds: number;
}

async function send(host: SiteHost, path = "/orders/1"): Promise<TimedAnswer> {
    sent += 1;
    const withheldBefore = withheld.totalMilliseconds;
    const answer = await callHost(host, { path, id: `${host.name}/${sent}` });
    const ranMilliseconds = answer.tookMilliseconds - (withheld.totalMilliseconds - withheldBefore);
    return { ...answer, ranMilliseconds };
}

/** Sends requests at a steady rate to the hosts in turn; returns their answers. */
async function offerLoad(
    hosts: readonly SiteHost[],
    milliseconds = LOAD_MILLISECONDS,
    path = "/orders/1",
): Promise<TimedAnswer[]> {
    const answers: Promise<TimedAnswer>[] = [];
    const end = performance.now() + milliseconds;
    while (performance.now() < end) {
        const host = hosts[answers.length % hosts.length];
        assert.ok(host !== undefined);
        answers.push(send(host, path));
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
function assertRefusedTruly(answers: readonly TimedAnswer[], { standIn }: LimitedUpstream): void {
    const refused = answers.filter(({ status }) => status !== 200);
    const ran = new Set(standIn.received.map(({ id }) => id));
    for (const answer of refused) {
        assert.equal(answer.status, 503);
        assert.equal(reasonOf(answer), "upstream-limit");
        assert.equal(ranOf(answer), "not-run");
        assert.ok(!ran.has(String(answer.headers["flamingospread-request-id"])), "it ran");
        assert.ok(Number(answer.headers["retry-after"]) > 0, String(answer.headers["retry-after"]));
    }
    const late = refused.filter(({ ranMilliseconds }) => ranMilliseconds > MAXIMUM_WAIT_MILLISECONDS);
    assert.equal(late.length, 0, "refused later than a request may wait");
    const held = refused.filter(({ ranMilliseconds }) => ranMilliseconds > AT_ONCE_MILLISECONDS);
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

/** Starts a site, names a limit, and sends requests for some time. */
async function playLoad(
    hostCount: number,
    options: {
        readonly behaveLimited?: (index: number) => Behaviour;
        readonly busyHosts?: number;
        readonly beside?: boolean;
    } = {},
): Promise<LimitedLoad> {
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
        return { upstream, answers, namedAt, lines: site.hosts.flatMap(({ lines }) => lines) };
    }
    finally {
        await site.close();
    }
}

describe("hosts use most of a limit that an upstream names and refuse the rest at once", {
    concurrency: TIMED_SITES_AT_ONCE,
}, () => {
    test("three hosts together keep to the limit that an upstream names", async () => {
        const { upstream, answers, namedAt, lines } = await playLoad(3);
        assertWithinLimit(upstream, namedAt);
        assertMostUsed(upstream, namedAt);
        assertRefusedTruly(answers, upstream);
        const refused = lines.filter(({ message }) => message === "request refused");
        const explained = refused.filter(({ fields }) => explainsLimit(fields));
        assert.equal(explained.length, refused.length, "each refusal names the limit and where it comes from");
    });

    test("one host with all the traffic keeps to the limit and uses most of it", async () => {
        const { upstream, answers, namedAt } = await playLoad(3, { busyHosts: 1 });
        assertWithinLimit(upstream, namedAt);
        assertMostUsed(upstream, namedAt);
        assertRefusedTruly(answers, upstream);
    });
});

describe("an upstream that names a limit gets no more requests than it allows", { concurrency: SITES_AT_ONCE }, () => {
    test("further attempts after rejections keep to the limit", async () => {
        const { upstream, namedAt } = await playLoad(3, {
            behaveLimited: index => index % 2 === 0 ? { type: "not-run", status: 503 } : { type: "answer" },
        });
        assertWithinLimit(upstream, namedAt);
    });

    test("requests get permits in the order of their arrival, and none waits for one in vain", async () => {
        const { upstream, answers, lines } = await playLoad(1);
        const known = lines.find(({ message }) => message === "request waits");
        const sentAfter = Number(String(known?.fields["request"]).split("/")[1]);
        const order = upstream.standIn.received.map(({ id }) => Number(id.split("/")[1]));
        const limited = order.filter(number => number > sentAfter);
        assert.deepEqual(limited, [...limited].sort((left, right) => left - right));
        const inVain = answers.filter(({ status, tookMilliseconds }) => status !== 200 && tookMilliseconds > 1_000);
        assert.deepEqual(inVain.map(({ tookMilliseconds }) => tookMilliseconds), []);
    });

    test("no request is refused while another upstream has room", async () => {
        const { upstream, answers, namedAt } = await playLoad(3, { beside: true });
        assertWithinLimit(upstream, namedAt);
        assert.deepEqual(answers.filter(({ status }) => status !== 200), []);
    });

    test("no request is refused while another engine holds the model and can load the adapter", async () => {
        const site = await startSite(2);
        try {
            const behave = (): Behaviour => ({ type: "stream", events: 3 });
            const engines = [
                await site.addUpstream({ id: "i-limited", models: { quotes: ["a1"] }, behave, slots: 8 }, "llm"),
                await site.addUpstream({ id: "i-beside", models: { quotes: [] }, behave, slots: 8 }, "llm"),
            ];
            await until(() => site.hosts.every(host => countLines(host, "upstream joined") === engines.length));
            const call = (host: SiteHost): Promise<CallerAnswer> => requestAdapter(host, "a1");
            await until(async () => (await Promise.all(site.hosts.map(call))).every(({ status }) => status === 200));
            await until(() => site.hosts.some(host => countLines(host, "engine taken") > 0), 6_000);
            engines.forEach(engine => {
                engine.limit = engine.id === "i-limited" ? "0.5" : undefined;
            });
            const answers: Promise<CallerAnswer>[] = [];
            for (let round = 0; round < 60; round += 1) {
                answers.push(...site.hosts.map(call));
                await delay(50);
            }
            const refused = (await Promise.all(answers)).filter(({ status }) => status !== 200);
            assert.deepEqual(refused.map(answer => answer.body), []);
        }
        finally {
            await site.close();
        }
    });

    /** Starts two hosts before an engine that holds a model and will name a limit, and one that can load the model. */
    async function startModelSite(loadMilliseconds = 0): Promise<ModelSite> {
        const site = await startSite(2, 625);
        const behave = (): Behaviour => ({ type: "stream", events: 5, gapMilliseconds: 100 });
        const limited = await site.addUpstream({ id: "i-limited", models: { quotes: [] }, behave, slots: 8 }, "llm");
        const beside = await site.addUpstream(
            { id: "i-beside", models: {}, behave, slots: 8, loadMilliseconds },
            "llm",
        );
        await until(() => site.hosts.every(host => countLines(host, "upstream joined") === 2));
        const call = (): Promise<CallerAnswer>[] =>
            site.hosts.map(host =>
                callHost(host, { path: "/llm/1", method: "POST", headers: { "Flamingospread-Model": "quotes" } })
            );
        const offer = async (milliseconds: number, isEnough = (): boolean => false): Promise<CallerAnswer[]> => {
            const answers: Promise<CallerAnswer>[] = [];
            const end = performance.now() + milliseconds;
            while (performance.now() < end && !isEnough()) {
                answers.push(...call());
                await delay(200);
            }
            return Promise.all(answers);
        };
        await until(async () => (await Promise.all(call())).every(({ status }) => status === 200));
        limited.limit = "0.5";
        return { site, beside, offer };
    }

    test("a model whose only engine names a limit far below its demand is served by another engine soon", async () => {
        const { offer, site } = await startModelSite();
        try {
            await offer(COPY_MILLISECONDS);
            const answers = await offer(2_000);
            assert.deepEqual(answers.filter(({ status }) => status !== 200).map(({ body }) => body), []);
        }
        finally {
            await site.close();
        }
    });

    test("requests wait for a copy that another engine is loading rather than be refused for a limit", async () => {
        const { beside, offer, site } = await startModelSite(LOAD_OF_COPY_MILLISECONDS);
        try {
            const isLoading = (): boolean => beside.orders.some(({ order }) => order["model"] === "quotes");
            const demand = offer(COPY_MILLISECONDS, isLoading);
            await until(isLoading, COPY_MILLISECONDS);
            await delay(LOADING_KNOWN_MILLISECONDS);
            const answers = await offer(200);
            await demand;
            assert.deepEqual(answers.filter(({ status }) => status !== 200).map(({ body }) => body), []);
            assert.ok(answers.every(({ tookMilliseconds }) => tookMilliseconds > AT_ONCE_MILLISECONDS), "they waited");
        }
        finally {
            await site.close();
        }
    });

    test("the end of a limit is noticed by all hosts within 2 s", async () => {
        const site = await startSite(3);
        try {
            const { standIn } = await addLimitedUpstream(site);
            await until(() => site.hosts.every(host => countLines(host, "upstream joined") === 1));
            standIn.limit = String(LIMIT_PER_SECOND);
            await offerLoad(site.hosts, 2_000);
            standIn.limit = undefined;
            await offerLoad(site.hosts, 2_000);
            const answers = await offerLoad(site.hosts, 1_000);
            assert.deepEqual(answers.filter(({ status }) => status !== 200), []);
        }
        finally {
            await site.close();
        }
    });

    test("the end of a limit of 0 is noticed, since a request is tried now and then", async () => {
        const site = await startSite(1);
        try {
            const [host] = site.hosts;
            assert.ok(host !== undefined);
            const { standIn } = await addLimitedUpstream(site);
            await until(() => countLines(host, "upstream joined") === 1);
            standIn.limit = "0";
            assert.equal((await send(host)).status, 200, "the answer that names the limit");
            const answers = await offerLoad([host], 1_000);
            assert.ok(answers.filter(({ status }) => status === 200).length <= 1);
            standIn.limit = undefined;
            await offerLoad([host], 4_000);
            assert.equal((await send(host)).status, 200);
        }
        finally {
            await site.close();
        }
    });

    test("urgent requests get the permits before those that may wait", async () => {
        const site = await startSite(2);
        try {
            const { standIn } = await addLimitedUpstream(site);
            await until(() => site.hosts.every(host => countLines(host, "upstream joined") === 1));
            standIn.limit = String(LIMIT_PER_SECOND);
            await offerLoad(site.hosts, 1_500);
            standIn.received.splice(0);
            const [first, second] = site.hosts;
            assert.ok(first !== undefined && second !== undefined);
            const load = offerLoad([first], 3_000, "/batch/1");
            await offerLoad([second], 3_000);
            await load;
            const urgent = standIn.received.filter(({ path }) => path === "/orders/1").length;
            assert.ok(urgent >= standIn.received.length * 0.7, `${urgent} of ${standIn.received.length}`);
        }
        finally {
            await site.close();
        }
    });
});

describe("a limit is read from each kind of answer", () => {
    let site: EntrySite;
    let host: SiteHost;
    let round = 0;

    before(async () => {
        site = await startSite(1);
        const [first] = site.hosts;
        assert.ok(first !== undefined);
        host = first;
    });

    afterEach(async () => {
        for (const upstream of site.upstreams.splice(0)) {
            site.store.remove(`servers/${upstream.id}`);
            await upstream.close();
        }
    });

    after(async () => {
        await site.close();
    });

    async function addUpstream(behaviour: Behaviour): Promise<PlatformUpstreamStandIn> {
        round += 1;
        const upstream = await site.addUpstream({ id: `i-${round}`, behave: () => behaviour });
        upstream.limit = "2.5";
        await until(() => hasLine("upstream joined", upstream.id));
        return upstream;
    }

    function hasLine(message: string, upstream: string, fields: LoggedLine["fields"] = {}): boolean {
        return host.lines.some(line =>
            line.message === message && line.fields["upstream"] === upstream
            && Object.entries(fields).every(([name, value]) => line.fields[name] === value)
        );
    }

    const ANSWERS: readonly (readonly [string, Behaviour])[] = [
        ["a success", { type: "answer" }],
        ["an error answer", { type: "answer", status: 500 }],
        ["a rejection", { type: "not-run", status: 503 }],
        ["the head of a stream", { type: "stream", events: 3 }],
    ];
    for (const [kind, behaviour] of ANSWERS) {
        test(`a limit that an upstream names with ${kind} is known`, async () => {
            const { id } = await addUpstream(behaviour);
            await callHost(host, { path: behaviour.type === "stream" ? "/streams/1" : "/orders/1" });
            assert.ok(hasLine("upstream limit changed", id, { outcome: "named", limitPerSecond: 2.5 }));
        });
    }

    test("a limit that an engine names with the answer to an order is known", async () => {
        round += 1;
        const engine = await site.addUpstream({ id: `i-${round}`, models: { quotes: [] }, slots: 8 }, "llm");
        await until(() => hasLine("upstream joined", engine.id));
        engine.limit = "2.5";
        const call = callHost(host, {
            path: "/llm/1",
            method: "POST",
            headers: { "Flamingospread-Model": "quotes/a1" },
        });
        await until(() => hasLine("upstream limit changed", engine.id, { limitPerSecond: 2.5 }), 6_000);
        await call;
    });

    test("the next incarnation of an upstream is not bound by the limit of the one before", async () => {
        const upstream = await addUpstream({ type: "answer" });
        await callHost(host, { path: "/orders/1" });
        upstream.limit = undefined;
        site.announce(upstream, "plain", { born: 1_700_000_009_000, sequence: 1 });
        await until(() =>
            host.lines.filter(({ fields, message }) =>
                message === "upstream joined" && fields["upstream"] === upstream.id
            ).length === 2
        );
        const answers = await Promise.all(Array.from({ length: 6 }, () => callHost(host, { path: "/orders/1" })));
        assert.deepEqual(answers.map(({ status }) => status), [200, 200, 200, 200, 200, 200]);
    });
});
