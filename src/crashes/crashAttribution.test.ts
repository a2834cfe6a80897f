import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashAttribution, type CrashReport, type RequestAttributes, type Verdict } from "./index.js";

const HOUR_MILLISECONDS = 3_600_000;
const FIRST_TERM_MILLISECONDS = 30_000;

/** Longest time for which a host delays a trial after a crash. */
const TRIAL_MILLISECONDS = 1_000;

function createHost(name = "entry-1"): CrashAttribution {
    return new CrashAttribution(name);
}

function withParts(fingerprint: string, ...parts: string[]): RequestAttributes {
    return { fingerprint, parts };
}

/** Sends a request that is lost with its upstream. */
function crash(host: CrashAttribution, request: RequestAttributes, incarnation: string, nowMilliseconds: number): void {
    host.recordSent(request, nowMilliseconds - 100);
    host.recordLost(request, incarnation, nowMilliseconds);
    host.recordCrash(incarnation, nowMilliseconds + 20);
}

function answer(host: CrashAttribution, request: RequestAttributes, nowMilliseconds: number): void {
    host.recordSent(request, nowMilliseconds - 300);
    host.recordAnswered(request, "i-sound/1", nowMilliseconds);
}

/** Convicts the part `deadly` by two requests on two upstreams. */
function convict(host: CrashAttribution, nowMilliseconds: number): void {
    crash(host, withParts("r1", "deadly"), "i-1/1", nowMilliseconds);
    crash(host, withParts("r2", "deadly"), "i-2/1", nowMilliseconds + 1_000);
    host.expire(nowMilliseconds + 2_000);
}

function typeOf(verdict: Verdict): Verdict["type"] {
    return verdict.type;
}

function isEmpty(report: CrashReport): boolean {
    return Object.values(report).every((list: readonly unknown[]) => list.length === 0);
}

test("refuses each further request with a part that crashed two upstreams by two requests, whatever else it holds", () => {
    const host = createHost();
    convict(host, 1_000);
    const verdict = host.verdict(withParts("r3", "other", "deadly"), 3_500);
    assert.ok(verdict.type === "refused");
    assert.deepEqual([verdict.attribute, verdict.crashes], ["part:deadly", 2]);
    assert.deepEqual(host.verdict(withParts("r4", "other"), 3_500), { type: "accepted" });
    assert.deepEqual(host.takeChanges().map(({ type }) => type), ["convicted"]);
});

test("does not convict the part that all requests of a caller share, as it is answered elsewhere", () => {
    const host = createHost();
    answer(host, withParts("r0", "shared"), 900);
    crash(host, withParts("r1", "shared", "deadly"), "i-1/1", 1_000);
    crash(host, withParts("r2", "shared", "deadly"), "i-2/1", 2_000);
    host.expire(4_000);
    assert.deepEqual(host.verdict(withParts("r3", "shared"), 4_000), { type: "accepted" });
    assert.equal(typeOf(host.verdict(withParts("r4", "shared", "deadly"), 4_000)), "refused");
});

// Guards against a part that crashes engines for ever since only the first parts of a prompt are looked at.
test("a part behind many sound ones is convicted once it has crashed two upstreams", () => {
    const host = createHost();
    const sound = Array.from({ length: 100 }, (_, index) => `sound-${index}`);
    answer(host, withParts("r0", ...sound), 900);
    crash(host, withParts("r1", ...sound, "deadly"), "i-1/1", 1_000);
    crash(host, withParts("r2", ...sound, "deadly"), "i-2/1", 2_000);
    host.expire(4_000);
    assert.equal(typeOf(host.verdict(withParts("r3", ...sound), 4_000)), "accepted");
    assert.equal(typeOf(host.verdict(withParts("r4", ...sound, "deadly"), 4_000)), "refused");
});

test("reports name a bounded number of a request's parts, however many are suspected", () => {
    const host = createHost();
    const parts = Array.from({ length: 500 }, (_, index) => `new-${index}`);
    crash(host, withParts("r1", ...parts), "i-1/1", 1_000);
    host.recordSent(withParts("r2", ...parts), 1_100);
    const { suspects, trials } = host.report(1_200);
    assert.deepEqual(suspects.map(({ parts: suspected }) => suspected.length), [16]);
    assert.deepEqual(trials.map(({ attributes }) => attributes.length), [16]);
});

test("a crash of many upstreams at one moment convicts nothing", () => {
    const host = createHost();
    for (let index = 0; index < 6; index += 1) {
        crash(host, withParts(`r${index}`, "rare"), `i-${index}/1`, 1_000 + index * 40);
    }
    host.expire(3_000);
    assert.equal(typeOf(host.verdict(withParts("r9", "rare"), 3_000)), "accepted");
    assert.deepEqual(host.takeChanges(), []);
});

test("one request that is sent again does not convict the parts that it shares with others", () => {
    const host = createHost();
    crash(host, withParts("killer", "session"), "i-1/1", 1_000);
    crash(host, withParts("killer", "session"), "i-2/1", 2_000);
    host.expire(3_000);
    assert.equal(typeOf(host.verdict(withParts("killer", "session"), 3_000)), "refused");
    assert.notEqual(typeOf(host.verdict(withParts("r2", "session"), 3_000)), "refused");
});

test("two parts that came only together are refused only together", () => {
    const host = createHost();
    crash(host, withParts("r1", "deadly", "companion"), "i-1/1", 1_000);
    crash(host, withParts("r2", "deadly", "companion"), "i-2/1", 2_000);
    host.expire(4_000);
    assert.equal(typeOf(host.verdict(withParts("r3", "deadly", "companion"), 4_000)), "refused");
    assert.equal(typeOf(host.verdict(withParts("r4", "companion"), 4_000)), "accepted");
    answer(host, withParts("r4", "companion"), 4_500);
    host.expire(4_600);
    assert.equal(typeOf(host.verdict(withParts("r5", "deadly"), 4_600)), "refused", "the answered part is innocent");
});

test("waits for more evidence where crashes of other kinds make a coincidence likely", () => {
    const host = createHost();
    crash(host, withParts("r1", "rare"), "i-1/1", 1_000);
    host.recordCrash("i-8/1", 1_500);
    crash(host, withParts("r2", "rare"), "i-2/1", 2_000);
    host.expire(4_000);
    assert.notEqual(typeOf(host.verdict(withParts("r3", "rare"), 4_000)), "refused");
    crash(host, withParts("r3", "rare"), "i-3/1", 5_000);
    host.expire(6_000);
    assert.equal(typeOf(host.verdict(withParts("r4", "rare"), 6_000)), "refused");
});

test("a connection that was reset by an upstream that lives on is no evidence", () => {
    const host = createHost();
    for (const [index, incarnation] of ["i-1/1", "i-2/1", "i-3/1"].entries()) {
        host.recordLost(withParts(`r${index}`, "rare"), incarnation, 1_000 + index * 1_000);
        host.recordAnswered(withParts(`s${index}`, "other"), incarnation, 1_500 + index * 1_000);
        host.recordCrash(incarnation, 1_600 + index * 1_000);
    }
    host.expire(6_000);
    assert.deepEqual(host.verdict(withParts("r9", "rare"), 6_000), { type: "accepted" });
});

test("an answer that arrived before a crash disproves no loss of that crash, though a connection was reset earlier", () => {
    const host = createHost();
    host.recordLost(withParts("r1", "reset"), "i-1/1", 1_000);
    host.recordLost(withParts("r2", "deadly"), "i-1/1", 1_500);
    host.recordAnswered(withParts("s1", "other"), "i-1/1", 1_520);
    const evidence = host.recordCrash("i-1/1", 1_540);
    assert.deepEqual(evidence.map(({ parts }) => parts), [["deadly"]]);
});

test("lets one request with a doubted part be tried at a time, late enough for a crash to be a separate one", () => {
    const host = createHost();
    crash(host, withParts("r1", "rare"), "i-1/1", 1_000);
    const verdict = host.verdict(withParts("r2", "rare"), 1_100);
    assert.ok(verdict.type === "doubted");
    assert.ok(verdict.untilMilliseconds >= 1_300 && verdict.untilMilliseconds < 1_000 + TRIAL_MILLISECONDS);
    assert.equal(typeOf(host.verdict(withParts("r2", "rare"), verdict.untilMilliseconds)), "accepted");
    host.recordSent(withParts("r2", "rare"), 2_000);
    assert.equal(typeOf(host.verdict(withParts("r3", "rare"), 2_010)), "doubted");
    host.recordAnswered(withParts("r2", "rare"), "i-2/1", 2_300);
    assert.deepEqual(host.verdict(withParts("r3", "rare"), 2_310), { type: "accepted" });
});

test("a peer that is trying a doubted part holds this host's requests back until its claim lapses", () => {
    const [host, peer] = [createHost("entry-1"), createHost("entry-2")];
    crash(peer, withParts("r1", "rare"), "i-1/1", 1_000);
    host.receive(peer.report(1_030), 1_035);
    peer.recordSent(withParts("r2", "rare"), 2_500);
    assert.ok(peer.hasUnpublishedNews());
    host.receive(peer.report(2_500), 2_505);
    assert.equal(typeOf(host.verdict(withParts("r3", "rare"), 2_510)), "doubted");
    assert.equal(typeOf(host.verdict(withParts("r3", "rare"), 2_500 + 2 * TRIAL_MILLISECONDS)), "accepted");
});

test("hosts of which each saw one crash convict the part together", () => {
    const [host, peer] = [createHost("entry-1"), createHost("entry-2")];
    crash(host, withParts("r1", "deadly"), "i-1/1", 1_000);
    peer.receive(host.report(1_030), 1_035);
    crash(peer, withParts("r2", "deadly"), "i-2/1", 2_000);
    host.receive(peer.report(2_030), 2_035);
    host.expire(2_600);
    peer.expire(2_600);
    for (const each of [host, peer]) {
        assert.equal(typeOf(each.verdict(withParts("r3", "deadly"), 2_700)), "refused");
    }
});

test("a host that knows a suspected part to be sound says so at once, which lifts a conviction", () => {
    const [host, peer] = [createHost("entry-1"), createHost("entry-2")];
    convict(host, 1_000);
    answer(peer, withParts("s1", "deadly"), 900);
    peer.receive(host.report(3_100), 3_105);
    assert.ok(peer.hasUnpublishedNews());
    host.receive(peer.report(3_110), 3_115);
    assert.notEqual(typeOf(host.verdict(withParts("r3", "deadly"), 3_200)), "refused");
    assert.deepEqual(host.takeChanges().map(({ type }) => type), ["convicted", "lifted"]);
});

test("a host that restarted learns the convictions, and in which state they are, from any digest of a peer", () => {
    const host = createHost("entry-1");
    convict(host, 1_000);
    const restarted = createHost("entry-2");
    restarted.receive(host.report(FIRST_TERM_MILLISECONDS / 2), FIRST_TERM_MILLISECONDS / 2 + 5);
    assert.equal(typeOf(restarted.verdict(withParts("r3", "deadly"), FIRST_TERM_MILLISECONDS / 2 + 10)), "refused");
    assert.notEqual(typeOf(restarted.verdict(withParts("r3", "deadly"), FIRST_TERM_MILLISECONDS + 10_000)), "refused");
});

test("after its term a conviction allows one trial, and a single further crash convicts for longer", () => {
    const host = createHost();
    convict(host, 1_000);
    const after = FIRST_TERM_MILLISECONDS + 10_000;
    host.expire(after);
    assert.equal(typeOf(host.verdict(withParts("r3", "deadly"), after)), "accepted");
    host.recordSent(withParts("r3", "deadly"), after);
    assert.equal(typeOf(host.verdict(withParts("r4", "deadly"), after + 10)), "doubted");
    host.recordLost(withParts("r3", "deadly"), "i-3/1", after + 200);
    host.recordCrash("i-3/1", after + 220);
    assert.equal(typeOf(host.verdict(withParts("r4", "deadly"), after + 300)), "refused");
    assert.equal(typeOf(host.verdict(withParts("r4", "deadly"), after + 0.9 * HOUR_MILLISECONDS)), "refused");
});

test("an answer after the term ends a conviction for good", () => {
    const host = createHost();
    convict(host, 1_000);
    const after = FIRST_TERM_MILLISECONDS + 10_000;
    host.expire(after);
    answer(host, withParts("r3", "deadly"), after + 500);
    assert.deepEqual(host.report(after + 10_000).convictions, []);
    crash(host, withParts("r4", "deadly"), "i-9/1", after + 60_000);
    assert.notEqual(typeOf(host.verdict(withParts("r5", "deadly"), after + 62_000)), "refused");
});

test("reports are empty in calm, and again soon after the last news but for convictions", () => {
    const host = createHost();
    answer(host, withParts("r0", "shared"), 500);
    assert.ok(isEmpty(host.report(900)) && !host.hasUnpublishedNews());
    crash(host, withParts("r1", "shared", "rare"), "i-1/1", 1_000);
    const [evidence] = host.report(1_100).suspects;
    assert.deepEqual(evidence?.parts, ["rare"], "parts that are known to be sound are not named");
    assert.ok(isEmpty(host.report(5_000)) && isEmpty(host.aggregate(5_000)));
});

test("a representative passes on what peers reported, also what it does not report as its own", () => {
    const [peer, representative, distant] = [createHost("entry-1"), createHost("entry-2"), createHost("entry-3")];
    convict(peer, 1_000);
    representative.receive(peer.report(3_000), 3_005);
    assert.deepEqual(representative.report(3_010).suspects, []);
    assert.ok(representative.hasNewsToPassOn());
    distant.receive(representative.aggregate(3_010), 3_020);
    assert.equal(typeOf(distant.verdict(withParts("r3", "deadly"), 3_030)), "refused");
});

test("what hosts tell each other in circles dies out", () => {
    const [host, peer] = [createHost("entry-1"), createHost("entry-2")];
    crash(host, withParts("r1", "rare"), "i-1/1", 1_000);
    answer(peer, withParts("s1", "rare"), 900);
    let now = 1_030;
    for (; now < 9_000; now += 100) {
        peer.receive(host.aggregate(now), now + 5);
        host.receive(peer.aggregate(now + 10), now + 15);
    }
    assert.ok(isEmpty(host.aggregate(now)) && isEmpty(peer.aggregate(now)));
    assert.ok(!host.hasNewsToPassOn() && !peer.hasNewsToPassOn());
});

test("a flood of a million parts, sound ones and lost ones, pushes out no conviction and grows no report", () => {
    const host = createHost();
    convict(host, 1_000);
    let now = FIRST_TERM_MILLISECONDS + 10_000;
    crash(host, withParts("trial", "deadly"), "i-3/1", now);
    const before = process.memoryUsage().heapUsed;
    for (let index = 0; index < 1_000_000; index += 1) {
        now += 1;
        const request = withParts(`f${index}`, `flood-${index}`);
        host.recordSent(request, now);
        if (index % 50 === 0) {
            host.recordLost(request, `i-${index}/1`, now);
        }
        else {
            host.recordAnswered(request, "i-sound/1", now);
        }
        if (index % 1_000 === 0) {
            host.expire(now);
        }
    }
    const grownBytes = process.memoryUsage().heapUsed - before;
    assert.ok(grownBytes < 60_000_000, `the heap grew by ${grownBytes} bytes`);
    const { sound, suspects, trials } = host.report(now);
    assert.ok(suspects.length <= 64 && sound.length <= 64 && trials.length <= 16);
    assert.equal(typeOf(host.verdict(withParts("r3", "deadly"), now)), "refused");
});

test("connections that living upstreams refuse are no crashes, and do not hide those by a deadly part", () => {
    const host = createHost();
    for (let index = 1; index <= 4; index += 1) {
        assert.deepEqual(host.recordRefusedConnection(`i-${index}/1`, index * 100), []);
    }
    for (let index = 1; index <= 4; index += 1) {
        host.recordLost(withParts(`s${index}`, "sound"), `i-${index}/1`, 2_000);
    }
    host.expire(4_000);
    assert.equal(typeOf(host.verdict(withParts("s9", "sound"), 12_000)), "accepted");
    for (const [index, lostAtMilliseconds] of [[1, 20_000], [2, 21_000]] as const) {
        const request = withParts(`r${index}`, "deadly");
        host.recordSent(request, lostAtMilliseconds - 100);
        host.recordLost(request, `i-${index}/2`, lostAtMilliseconds);
        assert.equal(host.recordRefusedConnection(`i-${index}/2`, lostAtMilliseconds + 20).length, 1);
    }
    host.expire(23_000);
    assert.equal(typeOf(host.verdict(withParts("r3", "deadly"), 23_000)), "refused");
});

test("a deadly part is refused wherever it stands in a prompt of a dozen parts", () => {
    const host = createHost();
    const sound = Array.from({ length: 11 }, (_, index) => `part-${index}`);
    answer(host, withParts("r0", ...sound), 900);
    crash(host, withParts("r1", ...sound, "deadly"), "i-1/1", 1_000);
    crash(host, withParts("r2", ...sound, "deadly"), "i-2/1", 2_000);
    host.expire(4_000);
    assert.equal(typeOf(host.verdict(withParts("r3", ...sound, "deadly"), 4_000)), "refused");
    assert.equal(typeOf(host.verdict(withParts("r4", ...sound), 4_000)), "accepted");
});

test("a report of many losses with long names of parts fits a datagram", () => {
    const host = createHost();
    for (let index = 0; index < 200; index += 1) {
        const parts = Array.from({ length: 16 }, (_, part) => `${index}-${part}-`.padEnd(64, "x"));
        crash(host, withParts(`r${index}`, ...parts), `i-${index % 20}/1`, 1_000);
    }
    const bytes = JSON.stringify(host.report(1_100)).length;
    assert.ok(bytes < 48 * 1024, `${bytes} bytes`);
});

test("tells a report with news from one that repeats what is known", () => {
    const [host, peer] = [createHost("entry-1"), createHost("entry-2")];
    crash(peer, withParts("r1", "rare"), "i-1/1", 1_000);
    assert.equal(host.receive(peer.report(1_030), 1_035), true, "a crash");
    assert.equal(host.receive(peer.report(1_060), 1_065), false, "the same crash");
    peer.recordSent(withParts("r2", "rare"), 2_500);
    assert.equal(host.receive(peer.report(2_500), 2_505), true, "a trial");
    assert.equal(host.receive(peer.report(2_900), 2_905), false, "the trial goes on");
    peer.recordAnswered(withParts("r2", "rare"), "i-3/1", 3_000);
    assert.equal(host.receive(peer.report(3_010), 3_015), true, "the part is sound");
    assert.equal(host.receive(peer.report(3_100), 3_105), false, "the part is still sound");
    convict(peer, 20_000);
    assert.equal(host.receive(peer.report(23_000), 23_005), true, "a conviction");
    assert.equal(host.receive(peer.report(23_100), 23_105), false, "the same conviction");
});

/** Suspects the part `shared` of two crashes, news of the second of which come while `r3` is tried from 2,900 on. */
function suspectDuringTrial(host: CrashAttribution): void {
    crash(host, withParts("r1", "shared"), "i-1/1", 1_000);
    host.recordSent(withParts("r2", "shared"), 1_900);
    host.recordLost(withParts("r2", "shared"), "i-2/1", 2_000);
    host.recordSent(withParts("r3", "shared"), 2_900);
    host.recordCrash("i-2/1", 3_000);
    host.expire(3_100);
}

test("a part is not convicted while a request with it is tried, and not at all where that one is answered", () => {
    const host = createHost();
    suspectDuringTrial(host);
    assert.equal(typeOf(host.verdict(withParts("r4", "shared"), 3_150)), "doubted");
    host.recordAnswered(withParts("r3", "shared"), "i-3/1", 3_300);
    host.expire(4_500);
    assert.equal(typeOf(host.verdict(withParts("r4", "shared"), 4_500)), "accepted");
    assert.deepEqual(host.takeChanges(), []);
});

test("a part is convicted once a trial of it that ran at its second crash is lost, or has no outcome for a while", () => {
    const lost = createHost();
    suspectDuringTrial(lost);
    lost.recordLost(withParts("r3", "shared"), "i-3/1", 3_300);
    assert.equal(typeOf(lost.verdict(withParts("r4", "shared"), 3_310)), "refused");
    const silent = createHost();
    suspectDuringTrial(silent);
    assert.equal(typeOf(silent.verdict(withParts("r4", "shared"), 3_590)), "doubted");
    assert.equal(typeOf(silent.verdict(withParts("r4", "shared"), 3_610)), "refused");
});

test("a peer's trial that ran at a part's second crash keeps it from being convicted until its outcome is known", () => {
    const [host, peer] = [createHost("entry-1"), createHost("entry-2")];
    crash(host, withParts("r1", "shared"), "i-1/1", 1_000);
    host.recordLost(withParts("r2", "shared"), "i-2/1", 2_000);
    peer.receive(host.report(2_010), 2_020);
    peer.recordSent(withParts("r3", "shared"), 2_900);
    host.receive(peer.report(2_910), 2_920);
    host.recordCrash("i-2/1", 3_000);
    assert.equal(typeOf(host.verdict(withParts("r4", "shared"), 3_100)), "doubted");
    peer.recordAnswered(withParts("r3", "shared"), "i-3/1", 3_300);
    host.receive(peer.report(3_310), 3_320);
    host.expire(4_500);
    assert.deepEqual(host.takeChanges(), []);
});
