import assert from "node:assert/strict";
import { test } from "node:test";
import { createTask, type Task } from "./index.js";

test("a message sent while effects are performed is handled after the last of them", () => {
    const handled: string[] = [];
    const task: Task<string> = createTask({
        handle: (message: string) => {
            handled.push(`handle ${message}`);
            return message === "first" ? ["a", "b"] : [];
        },
    }, {
        clock: () => 0,
        perform: effects => {
            for (const effect of effects) {
                handled.push(`perform ${effect}`);
                task.send(`answer ${effect}`);
            }
        },
    });
    task.send("first");
    assert.deepEqual(handled, ["handle first", "perform a", "perform b", "handle answer a", "handle answer b"]);
});

test("a closed task drops messages", () => {
    let handled = 0;
    const task = createTask<string, string>({
        handle: () => {
            handled += 1;
            return [];
        },
    }, { clock: () => 0, perform: () => undefined });
    task.close();
    task.send("late");
    assert.equal(handled, 0);
});

test("an idle task ticks at the long interval, and at the short one once it has work", context => {
    context.mock.timers.enable({ apis: ["setTimeout"] });
    let busy = false;
    let ticks = 0;
    const task = createTask<string, string>({
        handle: message => {
            ticks += message === "tick" ? 1 : 0;
            return [];
        },
    }, {
        clock: () => 0,
        perform: () => undefined,
        tick: { message: "tick", intervalMilliseconds: 10, idleIntervalMilliseconds: 1000, isIdle: () => !busy },
    });
    context.mock.timers.tick(900);
    assert.equal(ticks, 0);
    busy = true;
    task.send("work");
    for (let step = 0; step < 5; step += 1) {
        context.mock.timers.tick(10);
    }
    assert.equal(ticks, 5);
    task.close();
});
