import assert from "node:assert/strict";
import { test } from "node:test";
import { rankByRendezvous } from "../decision/index.js";
import { type PermitGrant, type PermitRequest } from "../generated/gossip.js";
import { NamedLimits } from "./namedLimits.js";
import { type PermitMessage, RateLimiter } from "./rateLimiter.js";

const UPSTREAM = { id: "i-1", startedAtMilliseconds: 1_000 };
const WAITING = { id: "r-1", priority: 0, sinceMilliseconds: 0 };

interface LimiterUnderTest {
    readonly limiter: RateLimiter;
    readonly limits: NamedLimits;
    /** Receivers of messages, with the messages. */
    readonly sent: (readonly [host: string, message: PermitMessage])[];
    /** The other live hosts, in the order in which they would issue permits. */
    readonly setLiveHosts: (hosts: readonly string[]) => void;
    readonly setPresent: (isPresent: boolean) => void;
}

/** Creates the limiter of a host that knows a limit of 4 a second. */
function createLimiter(host: string): LimiterUnderTest {
    const limits = new NamedLimits();
    const sent: (readonly [string, PermitMessage])[] = [];
    let liveHosts: readonly string[] = [host];
    let present = true;
    const limiter = new RateLimiter({
        host,
        limits,
        fleet: () => ({ liveHosts, hostCount: liveHosts.length, isCellPeer: () => true }),
        isPresent: () => present,
        send: (receiver, message) => void sent.push([receiver, message]),
        onAnswered: () => undefined,
        onLimitChanged: () => undefined,
    });
    limits.record({
        upstream: UPSTREAM,
        requestsPerSecond: 4,
        sentAtMilliseconds: 0,
        receivedAtMilliseconds: 0,
        receivedBy: host,
    });
    return {
        limiter,
        limits,
        sent,
        setLiveHosts: hosts => {
            liveHosts = [...hosts];
        },
        setPresent: isPresent => {
            present = isPresent;
        },
    };
}

/** Names of two other hosts, in the order in which they issue the upstream's permits before the host under test. */
function issuersBefore(host: string): readonly [string, string] {
    const ranked = rankByRendezvous(UPSTREAM.id, [host, ...Array.from({ length: 20 }, (_, index) => `entry-${index}`)]);
    const [first, second] = ranked.slice(0, ranked.indexOf(host));
    assert.ok(first !== undefined && second !== undefined);
    return [first, second];
}

function createGrant(host: string, { report, sequence }: PermitRequest): PermitGrant {
    return {
        type: "permit-grant",
        host,
        report,
        sequence: 1,
        request: sequence,
        permits: 1,
        permitsPerSecond: 4,
        waiting: [],
        resendMilliseconds: 200,
    };
}

test("a grant of an issuer that this host no longer asks is not used", () => {
    const [first, second] = issuersBefore("self");
    const { limiter, sent, setLiveHosts } = createLimiter("self");
    setLiveHosts(["self", first, second]);
    limiter.enqueue(UPSTREAM.id, WAITING, 0);
    const [receiver, request] = sent[0] ?? [];
    assert.equal(receiver, first);
    assert.ok(request?.type === "permit-request");
    setLiveHosts(["self", second]);
    limiter.tick(30);
    assert.equal(sent.at(-1)?.[0], second, "the next one is asked");
    limiter.receive(createGrant(first, request), 40);
    assert.equal(limiter.state(UPSTREAM.id, WAITING, 40), "wait");
});

test("an issuer that does not answer is passed over, and asked again later", () => {
    const [first, second] = issuersBefore("self");
    const { limiter, sent, setLiveHosts } = createLimiter("self");
    setLiveHosts(["self", first, second]);
    limiter.enqueue(UPSTREAM.id, WAITING, 0);
    for (let at = 25; at <= 900; at += 25) {
        limiter.tick(at);
    }
    assert.equal(sent.at(-1)?.[0], second);
    limiter.tick(4_500);
    limiter.tick(4_600);
    limiter.tick(9_000);
    assert.equal(sent.at(-1)?.[0], first);
});

test("reports of an upstream that has left are not taken from peers, among whom they would go round for ever", () => {
    const { limiter, limits, setPresent } = createLimiter("self");
    const [vote] = limiter.ownVotes(10);
    assert.ok(vote !== undefined);
    limits.forget(UPSTREAM.id);
    setPresent(false);
    limiter.recordVotes("entry-1", [vote], 20);
    assert.deepEqual(limiter.ownVotes(20), []);
    setPresent(true);
    limiter.recordVotes("entry-1", [vote], 30);
    assert.equal(limiter.ownVotes(30).length, 1);
});
