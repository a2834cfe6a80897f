import assert from "node:assert/strict";
import { test } from "node:test";
import { EngineSpeeds, type SpeedReport } from "./index.js";

const MEASURE = "chat stream";

function reportOf(upstream: string, slowdown: number | undefined): SpeedReport {
    return { upstream, service: "chat", slowdown };
}

/** Returns speeds that have heard a steady figure and a pace of each engine some times. */
function speedsOf(paces: Readonly<Record<string, number>>, times: number): EngineSpeeds {
    const speeds = new EngineSpeeds();
    for (let time = 0; time < times; time += 1) {
        for (const [engine, millisecondsPerUnit] of Object.entries(paces)) {
            speeds.recordReport(reportOf(engine, 1), time);
            speeds.recordPace(engine, { measure: MEASURE, millisecondsPerUnit });
        }
    }
    return speeds;
}

test("the usual speed of an engine follows its paces, and few of them are not taken for certain", () => {
    const many = speedsOf({ slow: 80, usual: 50, fast: 31 }, 60);
    assert.ok(many.slowdown("slow", 10_000) > 1.45, `${many.slowdown("slow", 10_000)}`);
    assert.ok(many.slowdown("fast", 10_000) < 0.7, `${many.slowdown("fast", 10_000)}`);
    const first = new EngineSpeeds();
    first.recordReport(reportOf("usual", 1), 0);
    first.recordReport(reportOf("slow", 1), 0);
    first.recordPace("usual", { measure: MEASURE, millisecondsPerUnit: 50 });
    first.recordPace("slow", { measure: MEASURE, millisecondsPerUnit: 5_000 });
    assert.ok(first.slowdown("slow", 0) < 2, "one long request does not make an engine slow");
    assert.ok((first.describe("slow", 0)?.doubt ?? 0) > 0.5);
    assert.ok((many.describe("slow", 0)?.doubt ?? 1) < 0.1);
});

test("a reported figure counts at once, and no longer when the spell that it told of is likely over", () => {
    const speeds = speedsOf({ one: 50 }, 20);
    speeds.recordReport(reportOf("one", 2.5), 1_000);
    assert.ok(speeds.slowdown("one", 1_000) > 2);
    assert.ok(speeds.slowdown("one", 1_400) < 1.8);
    assert.ok(speeds.slowdown("one", 5_000) < 1.05, "reports that stopped do not slow the engine for ever");
});

test("an engine that always reports a false figure is neither shunned nor flooded", () => {
    for (const falseFigure of [0.001, 40, Number.MAX_VALUE]) {
        const speeds = speedsOf({ honest: 50, liar: 50 }, 1);
        for (let at = 0; at < 400; at += 1) {
            speeds.recordReport(reportOf("liar", falseFigure), at);
        }
        const slowdown = speeds.slowdown("liar", 400);
        assert.ok(slowdown > 0.9 && slowdown < 1.1, `${falseFigure}: ${slowdown}`);
    }
});

test("an upstream without a figure has the slowdown 1 whatever its paces, and regains its usual speed with the figure", () => {
    const speeds = speedsOf({ slow: 80, usual: 50 }, 60);
    const slowdown = speeds.slowdown("slow", 10_000);
    assert.ok(slowdown > 1.1);
    for (const figure of [undefined, Number.NaN, 0, -5, Number.POSITIVE_INFINITY]) {
        speeds.recordReport(reportOf("slow", figure), 10_000);
        assert.equal(speeds.slowdown("slow", 10_000), 1);
        assert.equal(speeds.describe("slow", 10_000), undefined);
        speeds.recordReport(reportOf("slow", 1), 10_000);
        assert.ok(Math.abs(speeds.slowdown("slow", 10_000) - slowdown) < 0.01);
    }
    speeds.recordPace("unheard", { measure: MEASURE, millisecondsPerUnit: 500 });
    assert.equal(speeds.slowdown("unheard", 0), 1);
});

test("an upstream that was not heard yet reports if others of its service do, until an answer without a figure", () => {
    const speeds = new EngineSpeeds();
    speeds.recordReport(reportOf("old", undefined), 0);
    assert.ok(!speeds.isReporting("old", "chat") && !speeds.isReporting("unheard", "chat"));
    speeds.recordReport(reportOf("one", 1), 0);
    assert.ok(speeds.isReporting("one", "chat") && speeds.isReporting("unheard", "chat"));
    assert.ok(!speeds.isReporting("unheard", "other"));
    speeds.recordReport(reportOf("unheard", undefined), 0);
    assert.ok(!speeds.isReporting("unheard", "chat"));
});
