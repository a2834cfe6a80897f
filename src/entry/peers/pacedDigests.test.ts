import assert from "node:assert/strict";
import { mock, test, type TestContext } from "node:test";
import { PacedDigests } from "./index.js";

interface DigestFixture {
    readonly digests: PacedDigests;
    readonly link: { backlogMilliseconds: number; };
    readonly publishedCount: () => number;
    readonly publishedToOwnCellCount: () => number;
}

function createFixture(context: TestContext): DigestFixture {
    mock.timers.enable({ apis: ["setTimeout"] });
    context.after(() => mock.timers.reset());
    const link = { backlogMilliseconds: 0 };
    let published = 0;
    let publishedToOwnCell = 0;
    const digests = new PacedDigests({
        publish: () => {
            published += 1;
        },
        publishToOwnCell: () => {
            publishedToOwnCell += 1;
        },
        backlogMilliseconds: () => link.backlogMilliseconds,
    });
    return {
        digests,
        link,
        publishedCount: () => published,
        publishedToOwnCellCount: () => publishedToOwnCell,
    };
}

test("a digest is published at once where no message waits", context => {
    const { digests, publishedCount } = createFixture(context);
    digests.request();
    digests.request();
    assert.equal(publishedCount(), 2);
});

test("requests while messages wait have one digest published once they have left", context => {
    const { digests, link, publishedCount } = createFixture(context);
    link.backlogMilliseconds = 100;
    digests.request();
    digests.request();
    mock.timers.tick(99);
    assert.equal(publishedCount(), 0);
    link.backlogMilliseconds = 0;
    mock.timers.tick(1);
    assert.equal(publishedCount(), 1);
});

test("a digest waits on where further messages came meanwhile", context => {
    const { digests, link, publishedCount } = createFixture(context);
    link.backlogMilliseconds = 100;
    digests.request();
    mock.timers.tick(100);
    assert.equal(publishedCount(), 0);
    link.backlogMilliseconds = 0;
    mock.timers.tick(100);
    assert.equal(publishedCount(), 1);
});

test("a closed host publishes no digest that was requested before", context => {
    const { digests, link, publishedCount } = createFixture(context);
    link.backlogMilliseconds = 100;
    digests.request();
    digests.close();
    link.backlogMilliseconds = 0;
    mock.timers.tick(200);
    assert.equal(publishedCount(), 0);
});

test("the own cell is not left without a digest for more than a round while aggregates wait", context => {
    const { digests, link, publishedCount, publishedToOwnCellCount } = createFixture(context);
    link.backlogMilliseconds = 2_000;
    digests.requestRound();
    mock.timers.tick(500);
    digests.requestRound();
    assert.deepEqual([publishedToOwnCellCount(), publishedCount()], [2, 0]);
    link.backlogMilliseconds = 0;
    mock.timers.tick(1_500);
    assert.deepEqual([publishedToOwnCellCount(), publishedCount()], [2, 1]);
});

test("a round publishes one digest where none waits", context => {
    const { digests, publishedCount, publishedToOwnCellCount } = createFixture(context);
    digests.requestRound();
    assert.deepEqual([publishedToOwnCellCount(), publishedCount()], [0, 1]);
});
