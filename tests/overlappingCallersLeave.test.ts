/**
 * Callers that leave while several of their requests wait on one connection.
 *
 * @module
 */
import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { type PlatformUpstreamStandIn } from "../standins/platform/upstream.js";
import { EntrySite, type SiteHost, until, waitUntilReady } from "./support/entrySite.js";
import { OverlappingCaller, renderRequest } from "./support/overlappingCaller.js";
import { nextId } from "./support/overlappingRuns.js";
import { measureStalls } from "./support/processStalls.js";

/** Ways in which callers leave. */
const WAYS = ["end", "reset", "half close"] as const;

type Way = typeof WAYS[number];

/** Longer than all that a test waits for. */
const LONG_MILLISECONDS = 20_000;

/** An engine may work on a request for so long after its caller has left. */
const CANCEL_MILLISECONDS = 500;

/** Time in which a request that waited would reach the engine, were it not dropped. */
const WATCH_MILLISECONDS = 1_000;

const GRACE_MILLISECONDS = 12_000;

/** A host that waits for no caller has stopped by then; it accepts requests for 3 s after it was told to stop. */
const STOP_MILLISECONDS = 6_000;

const LARGE_BYTES = 6_000_000;
const WITHIN_MILLISECONDS = 10_000;

let site: EntrySite;
let upstream: PlatformUpstreamStandIn;

before(async () => {
    site = await EntrySite.start();
    const times = { timeoutMs: 2 * LONG_MILLISECONDS, targetLatencyMs: LONG_MILLISECONDS };
    site.configure([
        { pathPrefix: "/reads/", ...times },
        { pathPrefix: "/orders/", kind: "non_idempotent", ...times },
        { pathPrefix: "/streams/", kind: "stream", resumable: true, targetGapMs: 150, ...times },
    ]);
    upstream = await site.addUpstream({
        id: "i-sound",
        slots: 200,
        behave: ({ path }) => {
            switch (path.split("/")[2]) {
                case "long":
                    return { type: "answer", afterMilliseconds: LONG_MILLISECONDS };
                case "events":
                    return { type: "stream", events: 400, gapMilliseconds: 50 };
                case "large":
                    return { type: "answer", body: "x".repeat(LARGE_BYTES) };
                default:
                    return { type: "answer" };
            }
        },
    });
});

after(async () => {
    await site.close();
});

/** What a caller has sent when it leaves. */
interface Sent {
    readonly name: string;
    readonly firstPath: string;
    /** Requests behind the first one. */
    readonly followers: number;
    /** True where a part of one more request follows. */
    readonly hasPart?: boolean;
    /** True where the caller reads nothing, so that the first answer stays in the host in part. */
    readonly isUnread?: boolean;
}

const SENT: readonly Sent[] = [
    { name: "one read", firstPath: "/reads/long", followers: 0 },
    { name: "four reads", firstPath: "/reads/long", followers: 3 },
    { name: "twelve requests", firstPath: "/reads/long", followers: 11 },
    { name: "four requests and a part", firstPath: "/reads/long", followers: 3, hasPart: true },
    { name: "a stream", firstPath: "/streams/events", followers: 0 },
    { name: "a stream and three", firstPath: "/streams/events", followers: 3 },
    { name: "a large answer and three", firstPath: "/reads/large", followers: 3, isUnread: true },
];

/** Returns what callers have sent that leave in a way; one that half-closes and does not read is a slow caller. */
function sentBefore(way: Way): readonly Sent[] {
    return SENT.filter(({ isUnread }) => way !== "half close" || isUnread !== true);
}

interface LeavingCaller {
    readonly sent: Sent;
    readonly caller: OverlappingCaller;
    readonly firstId: string;
    readonly followerIds: readonly string[];
}

function send(host: SiteHost, sent: Sent): LeavingCaller {
    const { firstPath, followers, hasPart, isUnread } = sent;
    const caller = new OverlappingCaller(host);
    if (isUnread === true) {
        caller.pause();
    }
    const firstId = nextId("leaving");
    const followerIds = Array.from({ length: followers }, () => nextId("waiting"));
    const requests = followerIds.map((id, index) =>
        index % 2 === 0
            ? renderRequest({ id, path: "/orders/soon", body: "b".repeat(100) })
            : renderRequest({ id, path: "/reads/soon" })
    );
    const part = renderRequest({ id: nextId("part"), path: "/orders/soon", body: "p".repeat(100) }).slice(0, -50);
    const method = firstPath.startsWith("/streams/") ? "POST" : "GET";
    caller.write(
        renderRequest({ id: firstId, path: firstPath, method }) + requests.join("") + (hasPart === true ? part : ""),
    );
    return { sent, caller, firstId, followerIds };
}

function leave({ caller }: LeavingCaller, way: Way): void {
    if (way === "half close") {
        caller.endSending();
    }
    else {
        caller.close(way);
    }
}

function hasReceived(id: string): boolean {
    return upstream.received.some(request => request.id === id);
}

/** Lets callers leave; returns those whose first request their engine still works on after the time for that. */
async function findLate(callers: readonly LeavingCaller[], way: Way): Promise<string[]> {
    const stalls = measureStalls();
    const leftAt = performance.now();
    callers.forEach(each => leave(each, way));
    const atWork = callers.filter(({ sent }) => sent.isUnread !== true);
    const isCancelled = ({ firstId }: LeavingCaller): boolean => upstream.abandoned.includes(firstId);
    const late = new Set(atWork);
    while (late.size > 0 && performance.now() - leftAt - stalls.read() < CANCEL_MILLISECONDS) {
        await delay(10);
        atWork.filter(isCancelled).forEach(each => late.delete(each));
    }
    stalls.close();
    return [...late].map(({ sent }) => `${sent.name}: still at work`);
}

async function measureStop({ host }: SiteHost): Promise<number> {
    const stalls = measureStalls();
    const startedAt = performance.now();
    await host.stop();
    stalls.close();
    return Math.round(performance.now() - startedAt - stalls.read());
}

describe("a caller that leaves with requests waiting on its connection is noticed", { concurrency: true }, () => {
    for (const way of WAYS) {
        test(`a caller that leaves by ${way} does not keep engines or a stopping host at work`, async () => {
            const host = await site.addHost(`entry-${WAYS.indexOf(way)}`, {
                bounds: { graceMilliseconds: GRACE_MILLISECONDS },
            });
            await waitUntilReady(host);
            const callers = sentBefore(way).map(sent => send(host, sent));
            await until(() => callers.every(({ firstId }) => hasReceived(firstId)), WITHIN_MILLISECONDS);
            await delay(CANCEL_MILLISECONDS);
            const late = await findLate(callers, way);
            await delay(WATCH_MILLISECONDS);
            const passedOn = callers.flatMap(({ followerIds }) => followerIds.filter(hasReceived));
            const stopMilliseconds = await measureStop(host);
            callers.forEach(({ caller }) => caller.close());
            assert.deepEqual(late, []);
            assert.deepEqual(passedOn, [], "passed on for a caller that left");
            assert.ok(stopMilliseconds < STOP_MILLISECONDS, `stopped after ${stopMilliseconds} ms`);
        });
    }

    test("a caller that half-closes loses no part of the answer in progress, and nothing else is passed on for it", async () => {
        const host = await site.addHost("entry-unread");
        await waitUntilReady(host);
        const late = send(host, { name: "late", firstPath: "/reads/large", followers: 3, isUnread: true });
        await until(() => hasReceived(late.firstId), WITHIN_MILLISECONDS);
        await delay(CANCEL_MILLISECONDS);
        leave(late, "half close");
        await delay(CANCEL_MILLISECONDS);
        late.caller.resume();
        await until(() => late.caller.isClosed, WITHIN_MILLISECONDS);
        const answers = late.caller.answers.map(({ body, isComplete }) => [body.length, isComplete]);
        const passedOn = late.followerIds.filter(hasReceived);
        await host.host.close();
        assert.deepEqual(answers, [[LARGE_BYTES, true]]);
        assert.deepEqual(passedOn, []);
    });

    for (const way of WAYS) {
        test(`requests of a caller that leaves by ${way} as it sends them are not passed on`, async () => {
            const host = await site.addHost(`entry-sent-${WAYS.indexOf(way)}`);
            await waitUntilReady(host);
            const connected = send(host, { name: "connected", firstPath: "/reads/soon", followers: 0 });
            await connected.caller.waitForAnswers(1, WITHIN_MILLISECONDS);
            const ids = Array.from({ length: 3 }, () => nextId("left"));
            connected.caller.write(ids.map(id => renderRequest({ id, path: "/orders/soon", method: "POST" })).join(""));
            leave(connected, way);
            await delay(WATCH_MILLISECONDS);
            await host.host.close();
            connected.caller.close();
            assert.deepEqual(ids.filter(hasReceived), []);
        });
    }
});
