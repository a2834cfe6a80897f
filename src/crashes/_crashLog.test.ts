import assert from "node:assert/strict";
import { test } from "node:test";
import { CrashLog, type Loss } from "./_crashLog.js";

function createLoss(fingerprint: string, part: string, heardAtMilliseconds: number): Loss {
    return {
        fingerprint,
        attributes: [`part:${part}`, `request:${fingerprint}`],
        parts: [part],
        isOwn: true,
        heardAtMilliseconds,
    };
}

test("a loss that several peers report counts once, at the earliest time", () => {
    const log = new CrashLog();
    assert.ok(log.recordLoss("i-1/1", createLoss("r1", "a", 1_010), 1_000));
    assert.ok(!log.recordLoss("i-1/1", createLoss("r1", "a", 1_020), 990));
    assert.equal(log.get("i-1/1")?.atMilliseconds, 990);
    assert.equal(log.runsOf("part:a").size, 1);
    assert.equal(log.suspectedSinceMilliseconds("part:a"), 1_010);
});

test("news of a crash count once, and a loss that is noticed after them counts", () => {
    const log = new CrashLog();
    assert.ok(log.recordCrash("i-1/1", 1_000) !== undefined);
    assert.equal(log.recordCrash("i-1/1", 1_100), undefined);
    log.recordLoss("i-1/1", createLoss("r1", "a", 1_200), 1_200);
    assert.deepEqual([...log.runsOf("part:a")].map(({ isCrash }) => isCrash), [true]);
});

test("an incarnation that answers was not lost; one that crashed is not revived by a late answer", () => {
    const log = new CrashLog();
    log.recordLoss("i-1/1", createLoss("r1", "a", 1_000), 1_000);
    log.recordAlive("i-1/1", 1_001);
    assert.ok(log.isUnsuspected("part:a"));
    log.recordLoss("i-2/1", createLoss("r1", "a", 1_000), 1_000);
    log.recordCrash("i-2/1", 1_100);
    log.recordAlive("i-2/1", 1_200);
    assert.ok(!log.isUnsuspected("part:a"));
});

test("losses that never turn out to be crashes expire soon, crashes after minutes", () => {
    const log = new CrashLog();
    log.recordLoss("i-1/1", createLoss("r1", "a", 1_000), 1_000);
    log.recordLoss("i-2/1", createLoss("r2", "b", 1_000), 1_000);
    log.recordCrash("i-2/1", 1_100);
    log.expire(20_000);
    assert.deepEqual([...log.attributes()], ["part:b", "request:r2"]);
    log.expire(700_000);
    assert.deepEqual([...log.attributes()], []);
});

test("a flood of reset connections pushes out no crash", () => {
    const log = new CrashLog();
    log.recordLoss("i-0/1", createLoss("r0", "a", 0), 0);
    log.recordCrash("i-0/1", 0);
    for (let index = 1; index < 5_000; index += 1) {
        log.recordLoss(`i-${index}/1`, createLoss(`r${index}`, "b", index), index);
    }
    assert.ok([...log.runs()].length <= 1_024);
    assert.equal(log.runsOf("part:a").size, 1);
});
