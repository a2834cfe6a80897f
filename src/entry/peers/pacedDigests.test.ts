import assert from "node:assert/strict";
import { mock, test, type TestContext } from "node:test";
import { PacedDigests } from "./index.js";

interface DigestFixture {
    readonly digests: PacedDigests;
    readonly link: { backlogMilliseconds: number; };
    readonly publishedCount: () => number;
}

function createFixture(context: TestContext): DigestFixture {
    mock.timers.enable({ apis: ["setTimeout"] });
    context.after(() => mock.timers.reset());
    const link = { backlogMilliseconds: 0 };
    let published = 0;
    const digests = new PacedDigests({
        publish: () => {
            published += 1;
        },
        backlogMilliseconds: () => link.backlogMilliseconds,
    });
    return { digests, link, publishedCount: () => published };
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
