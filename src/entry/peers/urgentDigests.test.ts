import assert from "node:assert/strict";
import { mock, test, type TestContext } from "node:test";
import { CrashAttribution } from "../../crashes/index.js";
import { type LimitChange } from "../../rateLimits/index.js";
import { UrgentDigests } from "./urgentDigests.js";

interface DigestFixture {
    readonly urgent: UrgentDigests;
    readonly crashes: CrashAttribution;
    readonly clock: { nowMilliseconds: number; backlogMilliseconds: number; };
    readonly publishedCount: () => number;
}

/** Creates urgent digests whose timers only advance with `mock.timers.tick`. */
function createFixture(context: TestContext, publishesAggregates: boolean): DigestFixture {
    mock.timers.enable({ apis: ["setTimeout"] });
    context.after(() => mock.timers.reset());
    const clock = { nowMilliseconds: 0, backlogMilliseconds: 0 };
    const crashes = new CrashAttribution("entry-1");
    let published = 0;
    const urgent = new UrgentDigests({
        crashes,
        readClock: () => clock.nowMilliseconds,
        publishesAggregates: () => publishesAggregates,
        publish: () => {
            published += 1;
            crashes.report(clock.nowMilliseconds);
        },
        backlogMilliseconds: () => clock.backlogMilliseconds,
    });
    return { urgent, crashes, clock, publishedCount: () => published };
}

function limitChange(previousRequestsPerSecond?: number, requestsPerSecond?: number): LimitChange {
    return { upstream: "engine", previousRequestsPerSecond, requestsPerSecond };
}

function loseRequest(crashes: CrashAttribution): void {
    crashes.recordLost({ fingerprint: "f1", parts: ["p1"] }, "engine@1", 0);
}

test("news of a crash is published after 20 ms, several events of it together", context => {
    const { crashes, publishedCount, urgent } = createFixture(context, false);
    loseRequest(crashes);
    urgent.scheduleCrashNews();
    urgent.scheduleCrashNews();
    mock.timers.tick(19);
    assert.equal(publishedCount(), 0);
    mock.timers.tick(1);
    assert.equal(publishedCount(), 1);
});

test("news of a crash is published more than once, and not without end", context => {
    const { crashes, publishedCount, urgent } = createFixture(context, false);
    loseRequest(crashes);
    urgent.scheduleCrashNews();
    for (let step = 0; step < 100; step += 1) {
        mock.timers.tick(20);
    }
    assert.ok(publishedCount() > 1, "datagrams may be lost");
    assert.ok(publishedCount() < 10);
    assert.ok(!crashes.hasUnpublishedNews());
});

test("news of a crash is published once the messages before it have left", context => {
    const { clock, crashes, publishedCount, urgent } = createFixture(context, false);
    clock.backlogMilliseconds = 90;
    loseRequest(crashes);
    urgent.scheduleCrashNews();
    mock.timers.tick(89);
    assert.equal(publishedCount(), 0);
    mock.timers.tick(1);
    assert.equal(publishedCount(), 1);
});

test("without news of crashes no digest is published", context => {
    const { publishedCount, urgent } = createFixture(context, true);
    urgent.scheduleCrashNews();
    mock.timers.tick(1_000);
    assert.equal(publishedCount(), 0);
});

for (const publishesAggregates of [true, false]) {
    const verb = publishesAggregates ? "passes on" : "does not pass on";
    test(`a host that ${publishesAggregates ? "represents" : "does not represent"} its cell ${verb} peers' news`, context => {
        const { crashes, publishedCount, urgent } = createFixture(context, publishesAggregates);
        const peer = new CrashAttribution("entry-2");
        loseRequest(peer);
        crashes.receive(peer.report(0), 0);
        assert.ok(crashes.hasNewsToPassOn() && !crashes.hasUnpublishedNews());
        urgent.scheduleCrashNews();
        mock.timers.tick(20);
        assert.equal(publishedCount(), publishesAggregates ? 1 : 0);
    });
}

test("a closed host publishes no news of crashes", context => {
    const { crashes, publishedCount, urgent } = createFixture(context, false);
    loseRequest(crashes);
    urgent.scheduleCrashNews();
    urgent.close();
    urgent.scheduleCrashNews();
    mock.timers.tick(1_000);
    assert.equal(publishedCount(), 0);
});

test("a limit that begins or ends is published at once, at most every 200 ms", context => {
    const { clock, publishedCount, urgent } = createFixture(context, false);
    urgent.publishLimitChange(limitChange(undefined, 4));
    assert.equal(publishedCount(), 1);
    clock.nowMilliseconds = 199;
    urgent.publishLimitChange(limitChange(4, undefined));
    assert.equal(publishedCount(), 1);
    clock.nowMilliseconds = 200;
    urgent.publishLimitChange(limitChange(4, undefined));
    assert.equal(publishedCount(), 2);
});

test("a limit that only changes its rate waits for the next digest", context => {
    const { publishedCount, urgent } = createFixture(context, false);
    urgent.publishLimitChange(limitChange(4, 5));
    assert.equal(publishedCount(), 0);
});
