/**
 * Streams that break off while engines of two software versions serve: a stream goes on only at the version that began
 * it, within one answer and over its caller's requests.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test, type TestContext } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { ranOf, reasonOf, until } from "./support/entrySite.js";
import {
    isWholeOfOneVersion,
    NEW_VERSION,
    OLD_VERSION,
    VersionedSite,
    type VersionedStream,
    versionsOf,
} from "./support/versionedStreams.js";

const STREAMS = 36;

const HOSTS = [0, 1, 2];

/** All hosts have heard of a new version within this time. */
const NEWS_MILLISECONDS = 600;

/** Of the streams that break off, at least this share must go on. */
const RESUMED_SHARE = 0.9;

/** Time that engines need to read a prompt and send the first event. */
const FIRST_TOKEN_MILLISECONDS = 80;

/** Time for which callers have had the first event of a stream when its host is killed. */
const FIRST_EVENT_AGE_MILLISECONDS = 25;

/** Time between the starts of two streams that begin one after another. */
const START_INTERVAL_MILLISECONDS = 8;

async function startSite(
    context: TestContext,
    versions?: readonly string[],
    firstTokenMilliseconds?: number,
): Promise<VersionedSite> {
    const site = await VersionedSite.start(versions, firstTokenMilliseconds);
    context.after(() => site.close());
    return site;
}

function assertNoneJoined(streams: readonly VersionedStream[]): void {
    const joined = streams.filter(stream => versionsOf(stream).length > 1);
    assert.equal(joined.length, 0, `${joined.length} of ${streams.length} streams hold events of two versions`);
}

function assertMostWhole(streams: readonly VersionedStream[]): void {
    const whole = streams.filter(isWholeOfOneVersion);
    assert.ok(whole.length >= streams.length * RESUMED_SHARE, `${whole.length} of ${streams.length} are whole`);
}

function assertRefusedAtOnce(streams: readonly VersionedStream[]): void {
    for (const { answer } of streams) {
        assert.equal(answer.status, 503, answer.body);
        assert.equal(ranOf(answer), "not-run");
        assert.ok(answer.tookMilliseconds < 1_000, `refused after ${answer.tookMilliseconds} ms`);
    }
}

function isBroken({ isComplete }: VersionedStream): boolean {
    return !isComplete;
}

/** Begins streams, kills the given hosts, and returns the streams of which a part was received. */
async function breakStreams(site: VersionedSite, hosts: readonly number[]): Promise<VersionedStream[]> {
    const begun = site.begin(STREAMS, hosts);
    await site.untilRunning();
    await Promise.all(hosts.map(index => site.killHost(index)));
    const broken = (await Promise.all(begun)).filter(isBroken);
    assert.ok(
        broken.length > STREAMS / 2 && broken.every(({ events }) => events.length > 0),
        `${broken.length} broken`,
    );
    return broken;
}

function resumeAll(
    site: VersionedSite,
    streams: readonly VersionedStream[],
    hosts: readonly number[],
): Promise<VersionedStream[]> {
    return Promise.all(
        streams.map((stream, index) => site.resume(stream, hosts[index % hosts.length] ?? 0, stream.firstRequest)),
    );
}

test("a stream whose engine is lost goes on within its answer only at an engine of the same version", async context => {
    const site = await startSite(context);
    const begun = site.begin(STREAMS);
    await site.untilRunning();
    for (const version of [OLD_VERSION, NEW_VERSION]) {
        site.enginesOf(version).slice(0, 1).forEach(engine => site.removeEngine(engine));
    }
    const streams = await Promise.all(begun);
    assertNoneJoined(streams);
    assertMostWhole(streams);
});

test("a stream whose version has no engine left is broken off, not joined to another version", async context => {
    const site = await startSite(context);
    const begun = site.begin(STREAMS);
    await site.untilRunning();
    site.enginesOf(OLD_VERSION).forEach(engine => site.removeEngine(engine));
    const streams = await Promise.all(begun);
    assertNoneJoined(streams);
    const broken = streams.filter(isBroken);
    assert.ok(broken.length > 0);
    const runCount = site.runCount();
    const resumed = await resumeAll(site, broken, HOSTS);
    assertRefusedAtOnce(resumed);
    assert.equal(site.runCount(), runCount);
});

test("a stream of a killed host that its caller resumes at another host goes on at its own version", async context => {
    const site = await startSite(context);
    const broken = await breakStreams(site, [0]);
    const resumed = await resumeAll(site, broken, [1, 2]);
    assertNoneJoined(resumed);
    assertMostWhole(resumed);
});

test("streams that callers resume after all hosts were killed at once go on at their own version", async context => {
    const site = await startSite(context);
    const broken = await breakStreams(site, HOSTS);
    await Promise.all(HOSTS.map(index => site.restartHost(index)));
    const resumed = await resumeAll(site, broken, HOSTS);
    assertNoneJoined(resumed);
    assertMostWhole(resumed);
});

test("streams whose first event came just before all hosts were killed are not refused as unknown", async context => {
    const site = await startSite(context, undefined, FIRST_TOKEN_MILLISECONDS);
    const earlier: Promise<VersionedStream>[] = [];
    for (let index = 0; index < STREAMS; index += 1) {
        earlier.push(...site.begin(1, [index % HOSTS.length]));
        await delay(START_INTERVAL_MILLISECONDS);
    }
    const latest = site.begin(STREAMS);
    await until(() => site.runCount() === 2 * STREAMS);
    await delay(FIRST_TOKEN_MILLISECONDS + FIRST_EVENT_AGE_MILLISECONDS);
    await Promise.all(HOSTS.map(index => site.killHost(index)));
    await Promise.all(earlier);
    const broken = (await Promise.all(latest)).filter(stream => isBroken(stream) && stream.events.length > 0);
    assert.ok(broken.length > STREAMS / 2, `${broken.length} broken`);
    await Promise.all(HOSTS.map(index => site.restartHost(index)));
    const resumed = await resumeAll(site, broken, HOSTS);
    assertNoneJoined(resumed);
    assertMostWhole(resumed);
});

test("streams of a version that left while all hosts were down are refused as not run", async context => {
    const site = await startSite(context);
    const broken = await breakStreams(site, HOSTS);
    site.enginesOf(OLD_VERSION).forEach(engine => site.removeEngine(engine));
    await Promise.all(HOSTS.map(index => site.restartHost(index)));
    const resumed = await resumeAll(site, broken, HOSTS);
    assertNoneJoined(resumed);
    assertRefusedAtOnce(resumed.filter(({ events }) => events[0]?.version === OLD_VERSION));
});

test("a resumed stream is refused while two versions serve and its caller does not name it", async context => {
    const site = await startSite(context);
    const broken = await breakStreams(site, [0]);
    const unnamed = await Promise.all(broken.slice(0, 12).map(stream => site.resume(stream, 1)));
    const unknown = await Promise.all(broken.slice(12).map(stream => site.resume(stream, 2, "nobody-knows-it")));
    assertNoneJoined([...unnamed, ...unknown]);
    assertRefusedAtOnce([...unnamed, ...unknown]);
    assert.ok([...unnamed, ...unknown].every(({ answer }) => reasonOf(answer) === "version-unknown"));
});

test("while one version alone has served, a stream goes on after all hosts were killed, named or not", async context => {
    const site = await startSite(context, [OLD_VERSION]);
    const broken = await breakStreams(site, HOSTS);
    await Promise.all(HOSTS.map(index => site.restartHost(index)));
    const unnamed = await Promise.all(broken.slice(0, 12).map(stream => site.resume(stream, 1)));
    const named = await resumeAll(site, broken.slice(12), HOSTS);
    assertMostWhole([...unnamed, ...named]);
});

test("streams that began before a further version came go on at their own version after their host is killed", async context => {
    const site = await startSite(context, [OLD_VERSION]);
    const begun = site.begin(STREAMS, [0]);
    await site.untilRunning(0);
    await site.addEngines(NEW_VERSION);
    await delay(NEWS_MILLISECONDS);
    await site.killHost(0);
    const broken = (await Promise.all(begun)).filter(isBroken);
    assert.ok(broken.length > STREAMS / 2, `${broken.length} broken`);
    const resumed = await resumeAll(site, broken, [1, 2]);
    assertNoneJoined(resumed);
    assertMostWhole(resumed);
});
