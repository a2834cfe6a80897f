/**
 * What a host says of callers that left.
 *
 * @module
 */
import assert from "node:assert/strict";
import { test } from "node:test";
import { setTimeout as delay } from "node:timers/promises";
import { bundleProgram } from "./support/bundledProgram.js";
import { until } from "./support/entrySite.js";
import { StoppableHost } from "./support/goneCallers.js";

const MANY_CONNECTIONS = 100;
const LOGGING_MILLISECONDS = 300;
const CALLERS = 5;

test("a caller that leaves before its answer has begun is not logged as one whose answer was not delivered", async context => {
    const bundle = await bundleProgram();
    context.after(() => bundle.close());
    const host = await StoppableHost.start(context, bundle, MANY_CONNECTIONS);
    const callers = host.callTimes(CALLERS, "reads", "held");
    await host.untilReceived(callers);
    callers.forEach(caller => caller.leave("close"));
    await until(() => callers.every(({ id }) => host.engine.requests.get(id)?.endedAtMilliseconds !== undefined));
    await delay(LOGGING_MILLISECONDS);
    assert.equal(host.countLines("answer not delivered"), 0);
});
