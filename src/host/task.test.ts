import assert from "node:assert/strict";
import { test } from "node:test";
import { createTask, type Task } from "./index.js";

test("a message sent while effects are performed waits until they are done", () => {
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
